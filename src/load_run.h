// Runs a load plan: generates the arrivals of each organisation, injects the planned faults, logs
// progress and stops after the planned duration.
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
    std::uint64_t not_offered = 0; // arrivals dropped as all sessions were busy
    std::uint64_t faults = 0;      // faults that were injected
};

// Runs the plan and passes each line of the history to `write_line`. Returns when the duration has
// elapsed and the requests in flight have ended, or 15 s later.
[[nodiscard]] run_totals run(const run_plan& plan, std::uint64_t seed,
                             const std::function<void(const std::string& line)>& write_line);

} // namespace primrosehead::load
