// A small model of one database group and its platform, for tests of promotion::planner: commits
// that need one replica, servers that crash or are cut off, orders and calls that are lost or
// carried out seconds late. Exact: the same seed gives the same run.
#pragma once

#include "promotion_planner.h"

#include <primrosehead/clock.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace primrosehead::testing {

struct promotion_model_settings {
    std::uint64_t seed = 1;
    clock::duration length{30'000};
    double crash_chance = 0;       // of a server, a step
    double cut_chance = 0;         // between control and a server, a step
    double replica_cut_chance = 0; // between the primary and a replica, a step
    double late_chance = 0;        // of an order or call: no answer, carried out 2 to 12 s later
    double leader_change_chance = 0;
    bool skips_pauses = false; // plant: answers that a replica is paused although it is not
};

struct promotion_model_result {
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::uint64_t lost = 0; // promotions of a server without an acknowledged commit
    clock::duration longest_gap{0};
};

[[nodiscard]] promotion_model_result run_promotion_model(const promotion_model_settings& settings);

} // namespace primrosehead::testing
