#include "history_measures.h"

#include "history_check.h"

#include <algorithm>
#include <limits>
#include <map>

namespace primrosehead::history {

namespace {

constexpr double us_per_s = 1e6;
constexpr std::int64_t us_per_ms = 1'000;
constexpr double rounding_tolerance = 1e-3; // in requests; tolerates floating-point error
constexpr double inactive_start = -1e9;     // below the value of every active window

bool admitted(const request_event& one)
{
    return one.status == 200;
}

// Token bucket of the contract. Only admitted requests take tokens.
class ideal_bucket {
  public:
    explicit ideal_bucket(const contract& terms) : terms_(terms), tokens_(terms.burst) {}

    [[nodiscard]] bool has_token(std::int64_t at_us)
    {
        const double elapsed_us = static_cast<double>(std::max<std::int64_t>(at_us - last_us_, 0));
        if (last_us_ != 0) {
            tokens_ = std::min(terms_.burst, tokens_ + elapsed_us * terms_.rate / us_per_s);
        }
        last_us_ = std::max(last_us_, at_us);
        return tokens_ >= 1.0;
    }

    void spend() { tokens_ -= 1.0; }

  private:
    contract terms_;
    double tokens_;
    std::int64_t last_us_ = 0;
};

// Maximum, over all windows [start, end], of the number of admitted requests called and answered
// within the window minus rate x length. A segment tree over the sorted call times; adding a
// request increments every window that starts no later than its call.
class window_tree {
  public:
    window_tree(const std::vector<std::int64_t>& starts, double rate) : starts_(starts)
    {
        while (size_ < starts.size()) {
            size_ *= 2;
        }
        raise_.assign(2 * size_, 0.0);
        max_value_.assign(2 * size_, 2 * inactive_start);
        active_.assign(starts.size(), false);
        for (std::size_t i = 0; i < starts.size(); ++i) {
            max_value_[size_ + i] =
                inactive_start + rate * static_cast<double>(starts[i]) / us_per_s;
        }
        for (std::size_t node = size_ - 1; node > 0; --node) {
            max_value_[node] = std::max(max_value_[2 * node], max_value_[2 * node + 1]);
        }
    }

    void add(std::int64_t called_us)
    {
        const auto after = std::upper_bound(starts_.begin(), starts_.end(), called_us);
        const auto end = static_cast<std::size_t>(after - starts_.begin());
        raise(1, 0, size_, {0, end}, 1.0);
        if (!active_[end - 1]) {
            active_[end - 1] = true;
            raise(1, 0, size_, {end - 1, end}, -inactive_start);
        }
    }

    [[nodiscard]] double max_value() const { return max_value_[1]; }

  private:
    struct range {
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    void raise(std::size_t node, std::size_t low, std::size_t high, range span, double amount)
    {
        if (span.end <= low || high <= span.begin) {
            return;
        }
        if (span.begin <= low && high <= span.end) {
            raise_[node] += amount;
            max_value_[node] += amount;
            return;
        }
        const std::size_t middle = (low + high) / 2;
        raise(2 * node, low, middle, span, amount);
        raise(2 * node + 1, middle, high, span, amount);
        max_value_[node] = raise_[node] + std::max(max_value_[2 * node], max_value_[2 * node + 1]);
    }

    const std::vector<std::int64_t>& starts_;
    std::size_t size_ = 1;
    std::vector<double> raise_;
    std::vector<double> max_value_;
    std::vector<bool> active_;
};

double max_window_excess(const contract& terms, std::vector<const request_event*> requests)
{
    std::erase_if(requests, [](const request_event* one) { return !admitted(*one); });
    if (requests.empty()) {
        return 0;
    }
    std::int64_t origin_us = requests.front()->called_us;
    for (const request_event* each : requests) {
        origin_us = std::min(origin_us, each->called_us);
    }
    std::vector<std::int64_t> starts;
    starts.reserve(requests.size());
    for (const request_event* each : requests) {
        starts.push_back(each->called_us - origin_us);
    }
    std::sort(starts.begin(), starts.end());
    std::sort(requests.begin(), requests.end(),
              [](const auto* a, const auto* b) { return a->done_us < b->done_us; });
    window_tree tree(starts, terms.rate);
    double max_excess = 0;
    for (const request_event* each : requests) {
        tree.add(each->called_us - origin_us);
        const double end = terms.rate * static_cast<double>(each->done_us - origin_us) / us_per_s;
        max_excess = std::max(max_excess, tree.max_value() - end - terms.burst);
    }
    return max_excess;
}

organisation_measure measure_organisation(const contract& terms,
                                          std::vector<const request_event*> requests)
{
    organisation_measure measured;
    measured.organisation = terms.organisation;
    std::sort(requests.begin(), requests.end(),
              [](const auto* a, const auto* b) { return a->called_us < b->called_us; });
    ideal_bucket bucket(terms);
    for (const request_event* each : requests) {
        ++measured.requests;
        const bool is_within = bucket.has_token(each->called_us);
        if (admitted(*each)) {
            bucket.spend();
        }
        if (is_within) {
            ++measured.within;
            measured.answered_in_time += admitted(*each) ? 1 : 0;
            measured.refused_wrongly += each->error == "rate_limited" ? 1 : 0;
        }
    }
    measured.window_excess = max_window_excess(terms, std::move(requests));
    return measured;
}

std::int64_t quantile(std::vector<std::int64_t>& values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto i = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(i), values.end());
    return values[i];
}

std::map<std::string, std::vector<const request_event*>>
group_by_organisation(const recorded_history& recorded)
{
    std::map<std::string, std::vector<const request_event*>> sorted;
    for (const request_event& each : recorded.requests) {
        if (each.counted) {
            sorted[each.organisation].push_back(&each);
        }
    }
    return sorted;
}

void measure_latency(const recorded_history& recorded, measures& totals)
{
    std::vector<std::int64_t> reads;
    std::vector<std::int64_t> writes;
    for (const request_event& each : recorded.requests) {
        if (!admitted(each) || !each.counted) {
            continue;
        }
        (each.read ? reads : writes).push_back(each.done_us - each.called_us);
        if (each.read) {
            ++totals.reads;
            totals.reads_by_replicas += each.role == "replica" ? 1 : 0;
        }
    }
    totals.read_median_us = quantile(reads, 0.5);
    totals.read_p99_us = quantile(reads, 0.99);
    totals.write_median_us = quantile(writes, 0.5);
    totals.write_p99_us = quantile(writes, 0.99);
}

// Upper bound on the commit time of each log position of one database: the earliest answer at that
// position or a later one, other than to a plain read.
class commit_times {
  public:
    void add(std::uint64_t index, std::int64_t done_us) { answers_.push_back({index, done_us}); }

    // Must be called once, after the last `add`.
    void finish()
    {
        std::ranges::sort(answers_, {}, &answer::index);
        for (std::size_t i = answers_.size(); i-- > 1;) {
            answer& earlier = answers_[i - 1];
            earlier.done_us = std::min(earlier.done_us, answers_[i].done_us);
        }
    }

    // Returns a time in the far future if there is no answer at the position or a later one, as
    // the position is not known to be committed.
    [[nodiscard]] std::int64_t committed_at_us(std::uint64_t index) const
    {
        const auto found = std::ranges::lower_bound(answers_, index, {}, &answer::index);
        return found == answers_.end() ? std::numeric_limits<std::int64_t>::max() / 2
                                       : found->done_us;
    }

  private:
    struct answer {
        std::uint64_t index = 0;
        std::int64_t done_us = 0;
    };
    std::vector<answer> answers_;
};

// Key of the highest position that a session has seen in a database.
struct session_database {
    std::string session;
    std::string database;

    // clang-tidy 14 mistakes the 0 of the generated comparison for a null pointer.
    friend auto operator<=>(const session_database&,
                            const session_database&) = default; // NOLINT(modernize-use-nullptr)
};

bool is_value_read(const operation& one)
{
    return one.kind == "read" || one.kind == "stale_read" || one.kind == "scan";
}

// Counts the reads that a replica could have served: the session had seen only positions committed
// at least `lag` before the call, or sent no token, and the maximum age, if any, is at least `lag`.
void measure_replica_servable_reads(const recorded_history& recorded, clock::duration lag,
                                    measures& totals)
{
    std::map<std::string, commit_times> commits;
    std::vector<const operation*> ordered;
    for (const operation& each : recorded.operations) {
        if (each.outcome != "ok" || each.position.index == 0) {
            continue;
        }
        ordered.push_back(&each);
        if (!is_value_read(each) && each.kind != "read_add") {
            commits[each.database].add(each.position.index, each.done_us);
        }
    }
    for (auto& [database, times] : commits) {
        times.finish();
    }
    std::ranges::sort(ordered, {}, &operation::called_us);
    std::map<session_database, std::uint64_t> seen;
    for (const operation* each : ordered) {
        std::uint64_t& index = seen[{each->session, each->database}];
        if (is_value_read(*each)) {
            const std::int64_t lag_us = lag.count() * us_per_ms;
            const bool is_fresh =
                index == 0 || !each->with_token ||
                commits[each->database].committed_at_us(index) + lag_us <= each->called_us;
            const bool allows_lag = each->max_age_ms == 0 || each->max_age_ms >= lag.count();
            if (is_fresh && allows_lag) {
                ++totals.servable_reads;
                totals.servable_reads_by_replicas += each->role == "replica" ? 1 : 0;
            }
        }
        index = std::max(index, each->position.index);
    }
}

void measure_write_gaps(const recorded_history& recorded, measures& totals)
{
    std::map<std::string, std::vector<std::int64_t>> successful_writes;
    for (const operation& each : recorded.operations) {
        const bool is_write = each.kind == "write" || each.kind == "add";
        if (is_write && each.outcome == "ok") {
            successful_writes[each.database].push_back(each.done_us);
        }
    }
    for (auto& [database, times] : successful_writes) {
        std::sort(times.begin(), times.end());
        std::int64_t longest = 0;
        for (std::size_t i = 1; i < times.size(); ++i) {
            longest = std::max(longest, times[i] - times[i - 1]);
        }
        totals.databases.push_back({database, longest / us_per_ms});
    }
}

} // namespace

measures measure(const recorded_history& recorded, clock::duration replica_lag)
{
    measures measured;
    const auto requests = group_by_organisation(recorded);
    for (const contract& each : recorded.contracts) {
        const auto organisation_requests = requests.find(each.organisation);
        if (organisation_requests != requests.end()) {
            measured.organisations.push_back(
                measure_organisation(each, organisation_requests->second));
        }
    }
    measure_latency(recorded, measured);
    measure_replica_servable_reads(recorded, replica_lag, measured);
    measure_write_gaps(recorded, measured);
    return measured;
}

finding check_rate_limits(const recorded_history& recorded)
{
    finding found;
    found.promise = "rate and burst over all instances";
    const auto requests = group_by_organisation(recorded);
    for (const contract& each : recorded.contracts) {
        const auto organisation_requests = requests.find(each.organisation);
        if (organisation_requests == requests.end()) {
            continue;
        }
        found.checked += organisation_requests->second.size();
        const double excess = max_window_excess(each, organisation_requests->second);
        if (excess > rounding_tolerance && found.verdict != verdict::broken) {
            found.verdict = verdict::broken;
            found.operation = organisation_requests->second.front()->operation;
            found.detail = each.organisation + " was admitted " + std::to_string(excess) +
                           " requests more than rate and burst allow in a window";
        }
    }
    if (found.checked > 0 && found.verdict != verdict::broken) {
        found.verdict = verdict::held;
    }
    return found;
}

} // namespace primrosehead::history
