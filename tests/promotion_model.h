// Model of one database group, its platform, changing control leaders and an instance that confirms
// commits to callers, for tests of promotion::planner. Commits need one replica; servers crash,
// restart empty, leave, join and are partitioned; orders and requests are lost or carried out
// seconds late. Deterministic: a seed always gives the same run, and a rate of 0 draws no random
// number.
#pragma once

#include "promotion_planner.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace primrosehead::testing {

// Injected faults: broken promises of servers, the platform or the record of decisions. The model
// has to find each of them.
struct promotion_model_defects {
    bool ignores_pauses = false;       // replicas report a pause that they did not make
    bool ignores_demotions = false;    // a primary reports that it stepped down, and still leads
    bool reports_ended_pauses = false; // a restarted replica reports the pause that it lost
    bool accepts_outdated = false;     // the platform accepts lower numbers
    bool answers_early = false;        // the platform accepts requests before it has their number
    bool forgets_requested = false;    // the decision record lacks `requested`
    bool forgets_resuming = false;     // the decision record lacks `resuming`
    bool forgets_members = false;      // a new leader is not given the recorded members
    bool hides_births = false;         // servers that restart empty keep their `born_ms`
    bool demoted_claims_lead = false;  // a primary that stepped down answers as the primary
    bool ignores_fences = false;       // the instance confirms every commit at once
};

struct promotion_model_settings {
    std::uint64_t seed = 1;
    clock::duration run_time{30'000};
    clock::duration quiet_time{0};        // after `run_time`, without new faults
    clock::duration promotion_delay{300}; // from an accepted request to its effect
    clock::duration promotion_delay_max{0};
    double crash_chance = 0;             // per server and step, while all others are up
    double partition_chance = 0;         // between the control leader and a server, per step
    double replica_partition_chance = 0; // between the primary and a replica, per step
    double delay_chance = 0; // of an order or request: no answer, applied 2 to 12 s later
    double leader_change_chance = 0;
    double second_crash_chance = 0;          // per server and step, whether or not others are up
    double birth_chance = 0;                 // of a crash: the server has a new `born_ms`
    double empty_restart_chance = 0;         // of a crash: without its log, with a new `born_ms`
    double rename_chance = 0;                // of a crash: back under another name
    double leave_chance = 0;                 // per server and step; another server joins
    double join_chance = 0;                  // per step
    double order_restart_chance = 0;         // of an answered order or request: the server restarts
    double freeze_chance = 0;                // of orders: sent after another leader was elected
    double outage_chance = 0;                // of the platform, per step: no answers for seconds
    double demoted_restart_leads_chance = 0; // of a restart of a primary that stepped down
    double instance_partition_chance = 0;    // between the control leader and the instance
    bool obeys_demotions = false;
    promotion_model_defects defects;
    std::vector<std::string>* trace = nullptr; // receives the events
};

struct promotion_model_loss {
    clock::duration at{0};
    std::string server;
    std::string cause;
    bool is_avoidable = true; // by another decision: a request can't be withdrawn
};

struct promotion_model_result {
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::uint64_t lossy_promotions = 0; // of a server that lacks an acknowledged commit
    std::uint64_t destroyed = 0;        // times that the last log with a commit was destroyed
    std::vector<promotion_model_loss> losses;
    std::uint64_t avoidable_losses = 0;
    clock::duration longest_commit_gap{0};
    // While two servers, the platform and the links to and between them were up.
    clock::duration longest_needless_gap{0};
    clock::duration longest_quiet_gap{0};        // in `quiet_time`
    std::map<std::string, std::uint64_t> faults; // times that each kind was played
};

[[nodiscard]] promotion_model_result run_promotion_model(const promotion_model_settings& settings);

} // namespace primrosehead::testing
