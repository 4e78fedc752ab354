// Says of each promise whether a history keeps it. Pure, and linear in the history but for sorting.
#pragma once

#include "history_operation.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace primrosehead::history {

enum class verdict { held, broken, not_exercised };

struct finding {
    std::string promise;
    enum verdict verdict = verdict::not_exercised;
    std::uint64_t checked = 0;   // operations that the promise was checked on
    std::uint64_t operation = 0; // the first that breaks it
    std::string detail;
};

// What the stand-ins' records say. `executed_values`: values and added keys whose write went into a
// log.
struct execution_evidence {
    std::unordered_set<std::string> executed_values;
    std::uint64_t requests = 0;
    std::string leaked_key_line; // the first line that holds a caller's key
};

// Reads the lines of one stand-in's record into the evidence.
void read_execution_record(std::string_view text, const std::vector<std::string>& keys,
                           execution_evidence& evidence);

[[nodiscard]] finding check_read_your_writes(const recorded_history& recorded);
[[nodiscard]] finding check_monotonic_reads(const recorded_history& recorded);
[[nodiscard]] finding check_acknowledged_writes(const recorded_history& recorded);
[[nodiscard]] finding check_at_most_once(const recorded_history& recorded);
[[nodiscard]] finding check_transaction_isolation(const recorded_history& recorded);
[[nodiscard]] finding check_snapshot_reads(const recorded_history& recorded);
[[nodiscard]] finding check_access_control(const recorded_history& recorded);
[[nodiscard]] finding check_complete_responses(const recorded_history& recorded);
[[nodiscard]] finding check_staleness_bound(const recorded_history& recorded);
[[nodiscard]] finding check_rate_limits(const recorded_history& recorded);

// With the stand-ins' records.
[[nodiscard]] finding check_refused_not_executed(const recorded_history& recorded,
                                                 const execution_evidence& evidence);
[[nodiscard]] finding check_no_key_leaked(const execution_evidence& evidence);

// All checks that need no record.
[[nodiscard]] std::vector<finding> check_all(const recorded_history& recorded);

[[nodiscard]] std::string_view to_string(verdict value) noexcept;

} // namespace primrosehead::history
