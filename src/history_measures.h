// Computes rate-limit, latency, replica-read and write-gap figures from a recorded history. The
// functions have no side effects.
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
    std::uint64_t within = 0;           // within rate and burst, according to an ideal token bucket
    std::uint64_t answered_in_time = 0; // of those within, answered with status 200
    std::uint64_t refused_wrongly = 0;  // of those within, answered rate_limited
    double window_excess = 0; // maximum over all windows of admitted - (burst + rate x length)
};

struct database_measure {
    std::string database;
    std::int64_t longest_write_gap_ms = 0; // between consecutive successful writes
};

struct measures {
    std::vector<organisation_measure> organisations;
    std::vector<database_measure> databases;
    std::uint64_t reads = 0;
    std::uint64_t reads_by_replicas = 0;
    std::uint64_t servable_reads = 0; // a replica could have answered within its lag
    std::uint64_t servable_reads_by_replicas = 0;
    std::int64_t read_median_us = 0;
    std::int64_t read_p99_us = 0;
    std::int64_t write_median_us = 0;
    std::int64_t write_p99_us = 0;
};

// Computes all measures. `replica_lag` is the time until a replica applies a commit; it determines
// which reads a replica could have served.
[[nodiscard]] measures measure(const recorded_history& recorded, clock::duration replica_lag = {});

} // namespace primrosehead::history
