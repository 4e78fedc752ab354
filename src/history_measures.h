// The measures that a history gives. Pure.
#pragma once

#include "history_operation.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace primrosehead::history {

struct organisation_measure {
    std::string organisation;
    std::uint64_t requests = 0;
    std::uint64_t within = 0;           // inside rate and burst, by an ideal token bucket
    std::uint64_t answered_in_time = 0; // of those
    std::uint64_t refused_wrongly = 0;  // of those, answered rate_limited
    double window_excess = 0;           // most that any window admitted above burst + rate x time
};

struct database_measure {
    std::string database;
    std::int64_t longest_write_gap_ms = 0; // between good writes that were called one after another
};

struct measures {
    std::vector<organisation_measure> organisations;
    std::vector<database_measure> databases;
    std::uint64_t reads = 0;
    std::uint64_t reads_by_replicas = 0;
    std::uint64_t servable_reads = 0; // some replica had what the session had seen
    std::uint64_t servable_reads_by_replicas = 0;
    std::int64_t read_median_us = 0;
    std::int64_t read_p99_us = 0;
    std::int64_t write_median_us = 0;
    std::int64_t write_p99_us = 0;
};

// `replica_lag`: how long after a commit a replica shows it; tells which reads replicas could
// serve.
[[nodiscard]] measures measure(const recorded_history& recorded, clock::duration replica_lag = {});

} // namespace primrosehead::history
