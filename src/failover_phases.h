// The phases of one failover, as a Boost.MSM state machine.
#pragma once

#include <memory>
#include <string_view>

namespace primrosehead::failover {

enum class phase { steady, closing, waiting, fencing, promoting, opening };

[[nodiscard]] std::string_view to_string(phase value) noexcept;

class phase_machine {
  public:
    phase_machine();
    ~phase_machine();
    phase_machine(phase_machine&&) noexcept;
    phase_machine& operator=(phase_machine&&) noexcept;
    phase_machine(const phase_machine&) = delete;
    phase_machine& operator=(const phase_machine&) = delete;

    // Each event moves on from the one phase that it belongs to and is ignored in every other.
    void started();         // steady -> closing
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
