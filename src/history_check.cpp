#include "history_check.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace primrosehead::history {

namespace {

constexpr std::string_view no_value = "null";
constexpr std::int64_t us_per_ms = 1'000;

// Accumulates the checks of one promise and keeps the first violation.
class promise_checker {
  public:
    explicit promise_checker(std::string promise) { finding_.promise = std::move(promise); }

    void check(bool is_satisfied, const operation& op, std::string detail)
    {
        ++finding_.checked;
        if (is_satisfied || finding_.verdict == verdict::broken) {
            return;
        }
        finding_.verdict = verdict::broken;
        finding_.operation = op.id;
        finding_.detail = std::move(detail);
    }

    [[nodiscard]] finding take_finding()
    {
        if (finding_.verdict != verdict::broken && finding_.checked > 0) {
            finding_.verdict = verdict::held;
        }
        return finding_;
    }

  private:
    finding finding_;
};

bool is_ok(const operation& one)
{
    return one.done_us != 0 && one.outcome == "ok";
}

bool is_read(const operation& one)
{
    return one.kind == "read" || one.kind == "stale_read" || one.kind == "read_add";
}

bool is_value_write(const operation& one)
{
    return one.kind == "write" || one.kind == "transaction";
}

// Orders log positions by term, then by index.
bool is_before(log_position one, log_position other)
{
    return one.term < other.term || (one.term == other.term && one.index < other.index);
}

std::string describe(log_position position)
{
    return std::to_string(position.term) + "/" + std::to_string(position.index);
}

std::string database_key(const operation& op, std::string_view key)
{
    return op.database + " " + std::string(key);
}

// Returns the operations in the order of their call times.
std::vector<const operation*> sorted_by_call_time(const recorded_history& recorded)
{
    std::vector<const operation*> sorted;
    for (const operation& each : recorded.operations) {
        sorted.push_back(&each);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const operation* a, const operation* b) {
        return a->called_us < b->called_us;
    });
    return sorted;
}

// Index of the acknowledged writes of each key, ordered by log position.
class acknowledged_writes {
  public:
    explicit acknowledged_writes(const recorded_history& recorded)
    {
        for (const operation& each : recorded.operations) {
            if (is_value_write(each)) {
                writers_[each.value] = &each;
                add_acknowledged(each);
            }
        }
        for (auto& [key, list] : writes_) {
            std::sort(list.begin(), list.end(), [](const operation* a, const operation* b) {
                return is_before(a->position, b->position);
            });
        }
    }

    // Returns the last acknowledged write of a key up to and including `position`, or null if there
    // is none.
    [[nodiscard]] const operation* newest(const std::string& key, log_position position) const
    {
        const auto found = writes_.find(key);
        if (found == writes_.end()) {
            return nullptr;
        }
        const std::vector<const operation*>& list = found->second;
        const auto after = std::upper_bound(list.begin(), list.end(), position,
                                            [](log_position limit, const operation* one) {
                                                return is_before(limit, one->position);
                                            });
        return after == list.begin() ? nullptr : *std::prev(after);
    }

    [[nodiscard]] const operation* writer(const std::string& value) const
    {
        const auto found = writers_.find(value);
        return found == writers_.end() ? nullptr : found->second;
    }

  private:
    void add_acknowledged(const operation& one)
    {
        if (!is_ok(one)) {
            return;
        }
        for (const std::string& key : one.keys) {
            writes_[database_key(one, key)].push_back(&one);
        }
    }

    std::unordered_map<std::string, std::vector<const operation*>> writes_;
    std::unordered_map<std::string, const operation*> writers_;
};

// Returns whether a read may return the value seen for its key: that of the last acknowledged write
// at the read's position, null if there is none, or that of a write with an unknown outcome.
bool is_allowed_value(const acknowledged_writes& writes, const operation& read,
                      std::size_t key_index)
{
    const operation* newest =
        writes.newest(database_key(read, read.keys[key_index]), read.position);
    const std::string& seen = read.seen[key_index];
    if (newest != nullptr && seen == newest->value) {
        return true;
    }
    if (seen == no_value) {
        return newest == nullptr;
    }
    const operation* writer = writes.writer(seen);
    const bool unknown = writer != nullptr && !is_ok(*writer) && writer->outcome != "no";
    return unknown;
}

} // namespace

std::string_view to_string(verdict value) noexcept
{
    switch (value) {
    case verdict::held:
        return "held";
    case verdict::broken:
        return "broken";
    default:
        return "not exercised";
    }
}

finding check_read_your_writes(const recorded_history& recorded)
{
    promise_checker checker("read-your-writes");
    std::unordered_map<std::string, log_position> written; // by session and database
    for (const operation* each : sorted_by_call_time(recorded)) {
        log_position& last_position = written[each->session + " " + each->database];
        if (each->error == "session_write_lost") {
            last_position = {};
        }
        if (!is_ok(*each)) {
            continue;
        }
        if ((is_read(*each) || each->kind == "scan") && each->with_token &&
            last_position.index > 0) {
            checker.check(!is_before(each->position, last_position), *each,
                          "read at " + describe(each->position) +
                              " after the session's own write at " + describe(last_position));
        }
        if (is_value_write(*each) || each->kind == "add") {
            last_position = std::max(last_position, each->position, is_before);
        }
    }
    return checker.take_finding();
}

finding check_monotonic_reads(const recorded_history& recorded)
{
    promise_checker checker("monotonic reads");
    std::unordered_map<std::string, log_position> seen;
    for (const operation* each : sorted_by_call_time(recorded)) {
        log_position& last_position = seen[each->session + " " + each->database];
        if (each->error == "session_write_lost") {
            last_position = {};
        }
        if (!is_ok(*each) || !each->with_token || each->kind == "rollback") {
            continue;
        }
        if (last_position.index > 0) {
            checker.check(!is_before(each->position, last_position), *each,
                          "at " + describe(each->position) + " after an earlier operation at " +
                              describe(last_position));
        }
        last_position = std::max(last_position, each->position, is_before);
    }
    return checker.take_finding();
}

finding check_acknowledged_writes(const recorded_history& recorded)
{
    promise_checker checker("no acknowledged write lost");
    const acknowledged_writes writes(recorded);
    for (const operation& each : recorded.operations) {
        const bool is_checkable = is_ok(each) && (is_read(each) || each.kind == "scan") &&
                                  each.kind != "read_add" && each.seen.size() == each.keys.size();
        if (!is_checkable) {
            continue;
        }
        for (std::size_t i = 0; i < each.keys.size(); ++i) {
            checker.check(is_allowed_value(writes, each, i), each,
                          each.keys[i] + " returned " + each.seen[i] + " at " +
                              describe(each.position));
        }
    }
    return checker.take_finding();
}

finding check_at_most_once(const recorded_history& recorded)
{
    promise_checker checker("at most once");
    std::unordered_map<std::string, const operation*> adds;
    for (const operation& each : recorded.operations) {
        if (each.kind == "add") {
            adds[database_key(each, each.keys.front())] = &each;
        }
    }
    for (const operation& each : recorded.operations) {
        if (!is_ok(each) || each.seen.empty()) {
            continue;
        }
        if (each.kind == "add") {
            checker.check(each.seen.front() == "1", each, "returned count " + each.seen.front());
        }
        if (each.kind == "read_add") {
            const auto added = adds.find(database_key(each, each.keys.front()));
            const bool is_acknowledged = added != adds.end() && is_ok(*added->second);
            const std::string& count = each.seen.front();
            const bool is_counted_once = count == "1" || (!is_acknowledged && count == no_value);
            checker.check(is_counted_once, each, each.keys.front() + " returned count " + count);
        }
    }
    return checker.take_finding();
}

finding check_transaction_isolation(const recorded_history& recorded)
{
    promise_checker checker("no mixing of transactions");
    std::unordered_set<std::string> invisible_values; // values of rolled-back and refused writes
    for (const operation& each : recorded.operations) {
        if (each.kind == "rollback" || each.outcome == "no") {
            invisible_values.insert(each.value);
        }
    }
    invisible_values.erase("");
    for (const operation& each : recorded.operations) {
        if (each.kind == "transaction" && is_ok(each) && !each.seen.empty()) {
            checker.check(each.seen.front() == each.value, each,
                          "read " + each.seen.front() + " inside the transaction after writing " +
                              each.value);
        }
        const bool is_successful_read = is_ok(each) && (is_read(each) || each.kind == "scan");
        if (!is_successful_read) {
            continue;
        }
        for (const std::string& value : each.seen) {
            checker.check(!invisible_values.contains(value), each,
                          "saw " + value + ", a value that was rolled back or refused");
        }
    }
    return checker.take_finding();
}

finding check_snapshot_reads(const recorded_history& recorded)
{
    promise_checker checker("one snapshot a read transaction");
    for (const operation& each : recorded.operations) {
        if (each.kind != "scan" || !is_ok(each)) {
            continue;
        }
        const bool all_equal =
            std::all_of(each.seen.begin(), each.seen.end(),
                        [&each](const std::string& value) { return value == each.seen.front(); });
        checker.check(all_equal, each,
                      "keys of one group show different values in one read transaction");
    }
    return checker.take_finding();
}

finding check_access_control(const recorded_history& recorded)
{
    promise_checker checker("key and organisation");
    for (const operation& each : recorded.operations) {
        if (each.done_us == 0 || each.status == 0) {
            continue;
        }
        if (each.kind == "wrong_key") {
            checker.check(each.status != 200, each,
                          "request with an invalid key was answered with status 200");
        }
        if (each.kind == "foreign_route") {
            checker.check(
                each.status != 200, each,
                "request for a route of another organisation was answered with status 200");
        }
    }
    return checker.take_finding();
}

finding check_complete_responses(const recorded_history& recorded)
{
    promise_checker checker("whole answers");
    for (const operation& each : recorded.operations) {
        const bool returns_values =
            is_ok(each) &&
            (each.kind == "read" || each.kind == "stale_read" || each.kind == "scan");
        if (!returns_values) {
            continue;
        }
        checker.check(each.seen.size() == each.keys.size(), each,
                      "number of values differs from number of keys");
        for (std::size_t i = 0; i < std::min(each.seen.size(), each.keys.size()); ++i) {
            const std::string& seen = each.seen[i];
            const std::string_view group =
                std::string_view(each.keys[i]).substr(0, each.keys[i].rfind('/'));
            const bool belongs_to_key = seen == no_value || seen.starts_with(group);
            checker.check(belongs_to_key, each,
                          each.keys[i] + " returned a value of another key group: " + seen);
        }
    }
    return checker.take_finding();
}

finding check_staleness_bound(const recorded_history& recorded)
{
    promise_checker checker("reads within their stated age");
    // For each database, acknowledgement times of writes with the highest position acknowledged so
    // far.
    std::map<std::string, std::vector<std::pair<std::int64_t, log_position>>> acknowledged;
    for (const operation& each : recorded.operations) {
        if (is_ok(each) && (is_value_write(each) || each.kind == "add")) {
            acknowledged[each.database].emplace_back(each.done_us, each.position);
        }
    }
    for (auto& [database, list] : acknowledged) {
        std::sort(list.begin(), list.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        for (std::size_t i = 1; i < list.size(); ++i) {
            list[i].second = std::max(list[i].second, list[i - 1].second, is_before);
        }
    }
    for (const operation& each : recorded.operations) {
        if (each.kind != "stale_read" || !is_ok(each) || each.max_age_ms == 0) {
            continue;
        }
        const auto& list = acknowledged[each.database];
        const std::int64_t cutoff_us = each.called_us - each.max_age_ms * us_per_ms;
        const auto after =
            std::upper_bound(list.begin(), list.end(), cutoff_us,
                             [](std::int64_t time, const auto& one) { return time < one.first; });
        const log_position required_position =
            after == list.begin() ? log_position{} : std::prev(after)->second;
        checker.check(!is_before(each.position, required_position), each,
                      "read at " + describe(each.position) +
                          ", but its maximum age requires at least " + describe(required_position));
    }
    return checker.take_finding();
}

finding check_refused_not_executed(const recorded_history& recorded,
                                   const execution_evidence& evidence)
{
    promise_checker checker("truth of \"not run\"");
    for (const operation& each : recorded.operations) {
        const bool was_refused = each.done_us != 0 && each.outcome == "no" && !each.value.empty();
        if (was_refused) {
            const std::string& write_id = each.kind == "add" ? each.keys.front() : each.value;
            checker.check(!evidence.executed_values.contains(write_id), each,
                          "refused as not executed, but a server executed " + write_id);
        }
    }
    return checker.take_finding();
}

finding check_no_key_leaked(const execution_evidence& evidence)
{
    finding found;
    found.promise = "no caller's key at a server";
    found.checked = evidence.requests;
    found.detail = evidence.leaked_key_line;
    if (!evidence.leaked_key_line.empty()) {
        found.verdict = verdict::broken;
    }
    else if (evidence.requests > 0) {
        found.verdict = verdict::held;
    }
    return found;
}

std::vector<finding> check_all(const recorded_history& recorded)
{
    return {check_read_your_writes(recorded),      check_monotonic_reads(recorded),
            check_acknowledged_writes(recorded),   check_at_most_once(recorded),
            check_transaction_isolation(recorded), check_snapshot_reads(recorded),
            check_access_control(recorded),        check_complete_responses(recorded),
            check_staleness_bound(recorded),       check_rate_limits(recorded)};
}

} // namespace primrosehead::history
