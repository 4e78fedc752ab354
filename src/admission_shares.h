// Fair shares of a server's time for organisations, within a priority: start-time fair queueing
// (Goyal, Vin and Cheng, 1996) by service time. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace primrosehead::admission {

class fair_shares {
  public:
    struct flow {
        double start_tag = 0; // virtual time: milliseconds of service
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
    };
    using key = std::pair<std::uint32_t, std::string>; // priority and organisation

    void enter(const key& owner);
    void leave(const key& owner); // without having run
    // Starts a statement that is charged `charged_ms`. One that continues a transaction was never
    // counted as waiting and does not advance the virtual time.
    void start(const key& owner, double charged_ms, bool was_waiting);
    // Ends a statement; `correction_ms` is its measured time less what was charged.
    void finish(const key& owner, double correction_ms);

    [[nodiscard]] double start_tag(const key& owner) const;
    [[nodiscard]] std::uint32_t waiting(const key& owner) const;
    // Returns how many waiting statements of other organisations run before one that has
    // `own_ahead` of its own organisation ahead of it.
    [[nodiscard]] double others_ahead(const key& owner, std::uint32_t own_ahead) const;
    [[nodiscard]] std::size_t size() const noexcept { return flows_.size(); }

  private:
    [[nodiscard]] double virtual_time(std::uint32_t priority) const;
    void erase_if_idle(const key& owner);

    std::map<key, flow> flows_;
    std::map<std::uint32_t, double> virtual_times_;
};

} // namespace primrosehead::admission
