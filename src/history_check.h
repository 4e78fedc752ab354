// Checks a recorded history against each consistency guarantee (promise). The functions have no
// side effects and run in time linear in the length of the history, apart from sorting.
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
    std::uint64_t checked = 0;   // number of operations, values or requests checked
    std::uint64_t operation = 0; // first operation that violates the promise
    std::string detail;
};

// Evidence from the execution records of the stand-in servers.
struct execution_evidence {
    // Values put and keys added to by writes that a server appended to its log.
    std::unordered_set<std::string> executed_values;
    std::uint64_t requests = 0;
    std::string leaked_key_line; // first record line that contains a caller's key
};

// Adds the execution record of one stand-in server to `evidence`. Looks for each of `keys` in it.
[[nodiscard]] status read_execution_record(std::string_view text,
                                           const std::vector<std::string>& keys,
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

// Checks that need the execution records of the stand-in servers.
[[nodiscard]] finding check_refused_not_executed(const recorded_history& recorded,
                                                 const execution_evidence& evidence);
[[nodiscard]] finding check_no_key_leaked(const execution_evidence& evidence);

// Runs all checks that need no execution records.
[[nodiscard]] std::vector<finding> check_all(const recorded_history& recorded);

[[nodiscard]] std::string_view to_string(verdict value) noexcept;

} // namespace primrosehead::history
