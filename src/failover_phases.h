// The phases of one failover, as a Boost.MSM state machine.
#pragma once

#include <memory>
#include <string_view>

namespace primrosehead::failover {

enum class phase { steady, closing, waiting, fencing, promoting, opening };

[[nodiscard]] std::string_view to_string(phase value) noexcept;

class phases {
  public:
    phases();
    ~phases();
    phases(phases&&) noexcept;
    phases& operator=(phases&&) noexcept;
    phases(const phases&) = delete;
    phases& operator=(const phases&) = delete;

    // Each event moves on from the one phase that it belongs to and is ignored in every other.
    void begun();           // steady -> closing
    void term_closed();     // closing -> waiting
    void leases_ended();    // waiting -> fencing
    void members_fenced();  // fencing -> promoting
    void server_promoted(); // promoting -> opening
    void term_opened();     // any -> steady
    void restarted();       // any but steady -> closing, with a higher term

    [[nodiscard]] phase current() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::failover
