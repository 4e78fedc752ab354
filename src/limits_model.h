// Simulation of one organisation's limit over a fleet, for tests and primrose-limits-lab: entry
// instances with their allowances, links that delay, lose, duplicate and reorder messages, and
// changes of the control leader. Deterministic: the same settings and seed give the same result.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/limits.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace primrosehead::limits {

// A request that the load balancer sends to an instance.
struct arrival {
    clock::time_point at;
    std::size_t instance = 0;
};

struct model_settings {
    contract terms;
    clock::duration length{20'000};
    clock::duration heartbeat{100};
    clock::duration link_delay{1}; // one way
    clock::duration grant_time{1'000};
    clock::duration request_wait{15}; // for a grant, before the request is refused
    std::uint64_t seed = 1;

    // Faults. The chances are per millisecond, except those of a message, which are per message.
    double message_loss = 0;
    double message_duplication = 0;
    clock::duration extra_delay{0}; // upper bound, uniformly distributed; reorders messages
    double freeze_chance = 0;       // of an instance
    double restart_chance = 0;      // of an instance
    double partition_chance = 0;    // between an instance and the control leader
    clock::duration outage_max{0};  // of a freeze, restart or partition
    double leader_change_chance = 0;
    clock::duration election_max{800};
    double contract_change_chance = 0; // between `terms` and half of them

    // Switched off only by tests, to show that the limit is breached without them.
    bool count_old_grants = true;   // a new leader counts its predecessor's grants as outstanding
    bool count_from_request = true; // a grant's holder counts its time from the request
};

struct model_result {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongly_refused = 0; // that one bucket for the whole fleet would have admitted
    std::uint64_t over_contract = 0;   // offered requests that one such bucket would have refused
    std::uint64_t admitted_after_wait = 0; // admitted only after waiting for a grant
    std::uint64_t heartbeats = 0;
    std::optional<clock::time_point> breach; // end of the first window that admitted too much
};

// Runs the simulation. `arrivals` are ordered by time.
[[nodiscard]] model_result run_model(const model_settings& settings,
                                     std::span<const arrival> arrivals);

// Returns the end of the first window in which more than burst + rate x time requests were
// admitted. Depends on the admission times only, not on the limiter.
[[nodiscard]] std::optional<clock::time_point>
find_breach(std::span<const clock::time_point> admissions, double rate, double burst);

} // namespace primrosehead::limits
