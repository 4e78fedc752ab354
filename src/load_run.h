// A whole load run: arrivals of each organisation, the timeline of faults, progress and an end.
#pragma once

#include "load_plan.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <functional>
#include <string>

namespace primrosehead::load {

struct run_totals {
    std::uint64_t operations = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_offered = 0; // arrivals that found every session of the organisation busy
    std::uint64_t faults = 0;      // steps of the timeline that were carried out
};

// Runs the plan. Every line of the history goes to `write_line`; it ends at the plan's duration
// plus the time of requests under way.
[[nodiscard]] run_totals run(const run_plan& plan, std::uint64_t seed,
                             const std::function<void(const std::string& line)>& write_line);

} // namespace primrosehead::load
