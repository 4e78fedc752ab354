// A small model of one organisation's limit over a fleet, for tests and primrose-limits-lab: entry
// instances with their allowances, links that delay, lose, repeat and reorder, and a control leader
// that changes. Exact: the same settings and seed give the same result.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/limits.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace primrosehead::limits {

// A request as the balancer hands it to an instance.
struct arrival {
    clock::time_point at;
    std::size_t instance = 0;
};

struct model_settings {
    contract terms;
    clock::duration length{20'000};
    clock::duration heartbeat{100};
    clock::duration link_delay{1}; // delay of a link
    clock::duration grant_time{1'000};
    clock::duration request_wait{15}; // for the answer to a heartbeat, before a refusal
    std::uint64_t seed = 1;

    // Faults. Chances are per millisecond, but for those of a message.
    double message_loss = 0;
    double message_duplication = 0;
    clock::duration extra_delay{0}; // at most, evenly spread: reorders
    double freeze_chance = 0;       // of an instance
    double restart_chance = 0;      // of an instance
    double partition_chance = 0;    // of an instance from the control leader
    clock::duration outage_max{0};  // of a freeze, restart or cut
    double leader_change_chance = 0;
    clock::duration election_max{800};
    double contract_change_chance = 0; // between `terms` and half of them

    // Tests only.
    bool count_old_grants = true;   // at a new leader
    bool count_from_request = true; // a grant's time at its holder
};

struct model_result {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongly_refused = 0;     // one bucket for the whole fleet would have admitted it
    std::uint64_t over_contract = 0;       // that one bucket would have refused
    std::uint64_t admitted_after_wait = 0; // admitted only after an answer
    std::uint64_t heartbeats = 0;
    std::optional<clock::time_point> breach; // a window that ended here admitted too much
};

// Runs the model; `arrivals` are in order of time.
[[nodiscard]] model_result run_model(const model_settings& settings,
                                     std::span<const arrival> arrivals);

// The end of the first window in which more than burst + rate x time were admitted. Looks at
// nothing but the times of admission.
[[nodiscard]] std::optional<clock::time_point>
find_breach(std::span<const clock::time_point> admissions, double rate, double burst);

} // namespace primrosehead::limits
