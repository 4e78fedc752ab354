#include "history_check.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace primrosehead::history {

namespace {

constexpr std::string_view no_value = "null";
constexpr std::int64_t us_per_ms = 1'000;

// Collects a promise's findings; the first breach is kept.
class promise_checker {
  public:
    explicit promise_checker(std::string promise) { finding_.promise = std::move(promise); }

    void check(bool kept, const operation& on, std::string detail)
    {
        ++finding_.checked;
        if (kept || finding_.verdict == verdict::broken) {
            return;
        }
        finding_.verdict = verdict::broken;
        finding_.operation = on.id;
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

// Orders positions by term, then index.
bool is_before(log_position one, log_position other)
{
    return one.term < other.term || (one.term == other.term && one.index < other.index);
}

std::string describe(log_position at)
{
    return std::to_string(at.term) + "/" + std::to_string(at.index);
}

std::string database_key(const operation& on, std::string_view key)
{
    return on.database + " " + std::string(key);
}

// Operations in the order of their calls.
std::vector<const operation*> sorted_by_call_time(const recorded_history& from)
{
    std::vector<const operation*> sorted;
    for (const operation& each : from.operations) {
        sorted.push_back(&each);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const operation* a, const operation* b) {
        return a->called_us < b->called_us;
    });
    return sorted;
}

// Acknowledged writes of each key by position.
class acknowledged_writes {
  public:
    explicit acknowledged_writes(const recorded_history& from)
    {
        for (const operation& each : from.operations) {
            if (is_value_write(each)) {
                writers_[each.value] = &each;
                add_acknowledged(each);
            }
        }
        for (auto& [key, list] : writes_) {
            std::sort(list.begin(), list.end(), [](const operation* a, const operation* b) {
                return is_before(a->at, b->at);
            });
        }
    }

    // The newest acknowledged write of a key at a position; null when there is none.
    [[nodiscard]] const operation* newest(const std::string& key, log_position at) const
    {
        const auto found = writes_.find(key);
        if (found == writes_.end()) {
            return nullptr;
        }
        const std::vector<const operation*>& list = found->second;
        const auto after = std::upper_bound(
            list.begin(), list.end(), at,
            [](log_position place, const operation* one) { return is_before(place, one->at); });
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

// True when a read of `key` at its position may show `seen`: the newest acknowledged write there,
// or one whose outcome its caller does not know.
bool is_allowed_value(const acknowledged_writes& writes, const operation& read, std::size_t place)
{
    const operation* newest = writes.newest(database_key(read, read.keys[place]), read.at);
    const std::string& seen = read.seen[place];
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

finding check_read_your_writes(const recorded_history& from)
{
    promise_checker checker("read-your-writes");
    std::unordered_map<std::string, log_position> written; // session and database
    for (const operation* each : sorted_by_call_time(from)) {
        log_position& last = written[each->session + " " + each->database];
        if (each->error == "session_write_lost") {
            last = {};
        }
        if (!is_ok(*each)) {
            continue;
        }
        if ((is_read(*each) || each->kind == "scan") && each->with_token && last.index > 0) {
            checker.check(!is_before(each->at, last), *each,
                          "read at " + describe(each->at) + " after own write at " +
                              describe(last));
        }
        if (is_value_write(*each) || each->kind == "add") {
            last = std::max(last, each->at, is_before);
        }
    }
    return checker.take_finding();
}

finding check_monotonic_reads(const recorded_history& from)
{
    promise_checker checker("monotonic reads");
    std::unordered_map<std::string, log_position> seen;
    for (const operation* each : sorted_by_call_time(from)) {
        log_position& last = seen[each->session + " " + each->database];
        if (each->error == "session_write_lost") {
            last = {};
        }
        if (!is_ok(*each) || !each->with_token || each->kind == "rollback") {
            continue;
        }
        if (last.index > 0) {
            checker.check(!is_before(each->at, last), *each,
                          "at " + describe(each->at) + " after " + describe(last));
        }
        last = std::max(last, each->at, is_before);
    }
    return checker.take_finding();
}

finding check_acknowledged_writes(const recorded_history& from)
{
    promise_checker checker("no acknowledged write lost");
    const acknowledged_writes writes(from);
    for (const operation& each : from.operations) {
        const bool readable = is_ok(each) && (is_read(each) || each.kind == "scan") &&
                              each.kind != "read_add" && each.seen.size() == each.keys.size();
        if (!readable) {
            continue;
        }
        for (std::size_t place = 0; place < each.keys.size(); ++place) {
            checker.check(is_allowed_value(writes, each, place), each,
                          each.keys[place] + " shows " + each.seen[place] + " at " +
                              describe(each.at));
        }
    }
    return checker.take_finding();
}

finding check_at_most_once(const recorded_history& from)
{
    promise_checker checker("at most once");
    std::unordered_map<std::string, const operation*> adds;
    for (const operation& each : from.operations) {
        if (each.kind == "add") {
            adds[database_key(each, each.keys.front())] = &each;
        }
    }
    for (const operation& each : from.operations) {
        if (!is_ok(each) || each.seen.empty()) {
            continue;
        }
        if (each.kind == "add") {
            checker.check(each.seen.front() == "1", each, "counts " + each.seen.front());
        }
        if (each.kind == "read_add") {
            const auto added = adds.find(database_key(each, each.keys.front()));
            const bool sure = added != adds.end() && is_ok(*added->second);
            const std::string& count = each.seen.front();
            const bool once = count == "1" || (!sure && count == no_value);
            checker.check(once, each, each.keys.front() + " counts " + count);
        }
    }
    return checker.take_finding();
}

finding check_transaction_isolation(const recorded_history& from)
{
    promise_checker checker("no mixing of transactions");
    std::unordered_set<std::string> invisible_values; // values that no reader may see
    for (const operation& each : from.operations) {
        if (each.kind == "rollback" || each.outcome == "no") {
            invisible_values.insert(each.value);
        }
    }
    invisible_values.erase("");
    for (const operation& each : from.operations) {
        if (each.kind == "transaction" && is_ok(each) && !each.seen.empty()) {
            checker.check(each.seen.front() == each.value, each,
                          "read " + each.seen.front() + " inside, wrote " + each.value);
        }
        const bool reads = is_ok(each) && (is_read(each) || each.kind == "scan");
        if (!reads) {
            continue;
        }
        for (const std::string& value : each.seen) {
            checker.check(!invisible_values.contains(value), each,
                          "saw " + value + ", which was not run");
        }
    }
    return checker.take_finding();
}

finding check_snapshot_reads(const recorded_history& from)
{
    promise_checker checker("one snapshot a read transaction");
    for (const operation& each : from.operations) {
        if (each.kind != "scan" || !is_ok(each)) {
            continue;
        }
        const bool same =
            std::all_of(each.seen.begin(), each.seen.end(),
                        [&each](const std::string& value) { return value == each.seen.front(); });
        checker.check(same, each, "saw parts of two transactions");
    }
    return checker.take_finding();
}

finding check_access_control(const recorded_history& from)
{
    promise_checker checker("key and organisation");
    for (const operation& each : from.operations) {
        if (each.done_us == 0 || each.status == 0) {
            continue;
        }
        if (each.kind == "wrong_key") {
            checker.check(each.status != 200, each, "a wrong key was served");
        }
        if (each.kind == "foreign_route") {
            checker.check(each.status != 200, each, "another organisation's route was served");
        }
    }
    return checker.take_finding();
}

finding check_complete_responses(const recorded_history& from)
{
    promise_checker checker("whole answers");
    for (const operation& each : from.operations) {
        const bool values = is_ok(each) && (each.kind == "read" || each.kind == "stale_read" ||
                                            each.kind == "scan");
        if (!values) {
            continue;
        }
        checker.check(each.seen.size() == each.keys.size(), each, "an answer is missing");
        for (std::size_t place = 0; place < std::min(each.seen.size(), each.keys.size()); ++place) {
            const std::string& seen = each.seen[place];
            const std::string_view group =
                std::string_view(each.keys[place]).substr(0, each.keys[place].rfind('/'));
            const bool own = seen == no_value || seen.starts_with(group);
            checker.check(own, each, each.keys[place] + " answered " + seen);
        }
    }
    return checker.take_finding();
}

finding check_staleness_bound(const recorded_history& from)
{
    promise_checker checker("reads within their stated age");
    // Acknowledged writes by the time of their acknowledgement, and the highest position so far.
    std::map<std::string, std::vector<std::pair<std::int64_t, log_position>>> acknowledged;
    for (const operation& each : from.operations) {
        if (is_ok(each) && (is_value_write(each) || each.kind == "add")) {
            acknowledged[each.database].emplace_back(each.done_us, each.at);
        }
    }
    for (auto& [database, list] : acknowledged) {
        std::sort(list.begin(), list.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        for (std::size_t place = 1; place < list.size(); ++place) {
            list[place].second = std::max(list[place].second, list[place - 1].second, is_before);
        }
    }
    for (const operation& each : from.operations) {
        if (each.kind != "stale_read" || !is_ok(each) || each.max_age_ms == 0) {
            continue;
        }
        const auto& list = acknowledged[each.database];
        const std::int64_t limit = each.called_us - each.max_age_ms * us_per_ms;
        const auto after =
            std::upper_bound(list.begin(), list.end(), limit,
                             [](std::int64_t time, const auto& one) { return time < one.first; });
        const log_position needed =
            after == list.begin() ? log_position{} : std::prev(after)->second;
        checker.check(!is_before(each.at, needed), each,
                      "read at " + describe(each.at) +
                          ", older than its age allows: " + describe(needed));
    }
    return checker.take_finding();
}

finding check_refused_not_executed(const recorded_history& from, const execution_evidence& evidence)
{
    promise_checker checker("truth of \"not run\"");
    for (const operation& each : from.operations) {
        const bool refused = each.done_us != 0 && each.outcome == "no" && !each.value.empty();
        if (refused) {
            const std::string& trace = each.kind == "add" ? each.keys.front() : each.value;
            checker.check(!evidence.executed_values.contains(trace), each,
                          "refused as not run, but a server ran " + trace);
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

std::vector<finding> check_all(const recorded_history& from)
{
    return {check_read_your_writes(from),      check_monotonic_reads(from),
            check_acknowledged_writes(from),   check_at_most_once(from),
            check_transaction_isolation(from), check_snapshot_reads(from),
            check_access_control(from),        check_complete_responses(from),
            check_staleness_bound(from),       check_rate_limits(from)};
}

} // namespace primrosehead::history
