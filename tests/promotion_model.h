// Model of one database group and its platform, for tests of promotion::planner: commits that need
// one replica, servers that crash or are partitioned, orders and promotion requests that are lost
// or applied seconds late. Deterministic: a seed always gives the same run.
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
    clock::duration run_time{30'000};
    clock::duration promotion_delay{300}; // from an accepted request to its effect
    double crash_chance = 0;              // per server and step
    double partition_chance = 0;          // between the control leader and a server, per step
    double replica_partition_chance = 0;  // between the primary and a replica, per step
    double delay_chance = 0; // of an order or request: no answer, applied 2 to 12 s later
    double leader_change_chance = 0;
    bool ignores_pauses = false; // injected fault: replicas report a pause that they did not make
};

struct promotion_model_result {
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::uint64_t lossy_promotions = 0; // of a server that lacks an acknowledged commit
    clock::duration longest_commit_gap{0};
};

[[nodiscard]] promotion_model_result run_promotion_model(const promotion_model_settings& settings);

} // namespace primrosehead::testing
