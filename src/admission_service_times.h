// Average round trip and arriving work, by priority. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <map>

namespace primrosehead::admission {

class service_times {
  public:
    void record_arrival(std::uint32_t priority, clock::time_point now);
    void record_service(std::uint32_t priority, clock::duration round_trip);

    [[nodiscard]] double service_ms(std::uint32_t priority) const;
    // Returns the slots that recent arrivals of priorities above `priority` keep busy.
    [[nodiscard]] double slots_above(std::uint32_t priority, clock::time_point now) const;

  private:
    struct priority_times {
        double service_ms = 0; // 0: not measured yet
        double arrivals = 0;   // aged count
        clock::time_point aged_at{};
    };

    std::map<std::uint32_t, priority_times> priorities_;
};

} // namespace primrosehead::admission
