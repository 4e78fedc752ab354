#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace primrosehead::admission {

namespace {

constexpr std::uint32_t max_priority = 15; // lower ones are treated alike
// Less urgent work gets one start in so many while more urgent work waits.
constexpr std::uint32_t starts_per_less_urgent = 16;
// Work whose remaining time is below this share of its average service time does not start.
constexpr double min_service_share = 0.5;
// Estimates are uncertain: queued work is given up only if it would miss its deadline with a
// shorter wait than estimated.
constexpr double hopeless_wait_share = 0.8;
constexpr clock::duration projection_interval{20}; // each takes up to 0.2 ms

constexpr double min_retry_after_ms = 20;
constexpr double max_retry_after_ms = 1'000; // before it is spread
constexpr double full_queue_share = 0.125;   // of a full queue that is served before a retry

// A failed statement costs the caller an attempt, not only the time until it failed.
constexpr double failure_penalty_ms = 500;
constexpr double max_failure_share = 0.9;

std::uint32_t class_of(const work& item)
{
    return item.continues_transaction ? 0 : 1 + std::min(item.priority, max_priority);
}

// Returns a number in [0, 1) from an id, by the finalizer of splitmix64.
double spread_of(std::uint64_t id)
{
    std::uint64_t mixed = id + 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    constexpr double units = 1ULL << 53U;
    return static_cast<double>(mixed >> 11U) / units;
}

double ms(clock::duration time)
{
    return static_cast<double>(time.count());
}

} // namespace

template <pace_model Pace>
std::optional<refusal> basic_queue<Pace>::submit(work item, clock::time_point now)
{
    waiting_work entering;
    entering.work_class = class_of(item);
    entering.owner = {std::min(item.priority, max_priority), item.organisation};
    entering.item = std::move(item);
    const auto refused = check(entering, now);
    if (refused) {
        return refused;
    }
    if (!make_room(entering, now)) {
        return refuse(entering, reasons::queue_full, now);
    }
    times_.record_arrival(entering.work_class, now);
    if (!entering.item.continues_transaction) {
        shares_.enter(entering.owner);
    }
    entering.sequence = ++last_sequence_;
    waiting_.push_back(std::move(entering));
    return std::nullopt;
}

template <pace_model Pace>
std::optional<std::uint64_t> basic_queue<Pace>::start_next(clock::time_point now)
{
    remove_late(now);
    if (waiting_.empty() || running_.size() >= limit(now)) {
        return std::nullopt;
    }
    const std::size_t selected = select(now);
    waiting_work& next = waiting_[selected];
    const std::uint64_t id = next.item.id;
    running_work started;
    started.charged_ms = times_.service_ms(next.work_class);
    started.sample = {.work_class = next.work_class,
                      .running = static_cast<std::uint32_t>(running_.size() + 1),
                      .started_at = now};
    shares_.start(next.owner, started.charged_ms, !next.item.continues_transaction);
    started.owner = std::move(next.owner);
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(selected));
    running_.emplace(id, std::move(started));
    return id;
}

template <pace_model Pace>
void basic_queue<Pace>::finish(std::uint64_t id, outcome result, clock::time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    running_work ended = std::move(found->second);
    running_.erase(found);
    const clock::duration round_trip = now - ended.sample.started_at;
    shares_.finish(ended.owner, ms(round_trip) - ended.charged_ms);
    if (result == outcome::done) {
        times_.record_service(ended.sample.work_class, round_trip);
    }
    ended.sample.result = result;
    pace_.record(ended.sample, now);
}

template <pace_model Pace>
bool basic_queue<Pace>::cancel(std::uint64_t id)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [id](const auto& each) { return each.item.id == id; });
    if (found == waiting_.end()) {
        return false;
    }
    remove(static_cast<std::size_t>(std::distance(waiting_.begin(), found)));
    return true;
}

template <pace_model Pace>
std::vector<refusal> basic_queue<Pace>::expire(clock::time_point now)
{
    remove_late(now);
    if (now - projected_at_ >= projection_interval) {
        projected_at_ = now;
        remove_hopeless(now);
    }
    return std::exchange(removed_, {});
}

template <pace_model Pace>
void basic_queue<Pace>::set_announced_slots(std::uint32_t slots, clock::time_point now)
{
    pace_.set_announced_slots(slots, now);
}

template <pace_model Pace>
void basic_queue<Pace>::server_restarted(clock::time_point now)
{
    pace_.restart(now);
}

template <pace_model Pace>
void basic_queue<Pace>::start_at(double concurrency, clock::time_point now)
{
    pace_.start_at(concurrency, now);
}

template <pace_model Pace>
double basic_queue<Pace>::concurrency(clock::time_point now) const
{
    return pace_.concurrency(now);
}

template <pace_model Pace>
clock::duration basic_queue<Pace>::wait_estimate(const work& item, clock::time_point now) const
{
    waiting_work entering;
    entering.work_class = class_of(item);
    entering.owner = {std::min(item.priority, max_priority), item.organisation};
    entering.item = item;
    return clock::duration(static_cast<std::int64_t>(std::ceil(wait_ms(entering, now))));
}

template <pace_model Pace>
clock::duration basic_queue<Pace>::cost_estimate(const work& item, clock::time_point now) const
{
    const double failures = std::min(max_failure_share, pace_.failure_share(now));
    const double once = ms(wait_estimate(item, now)) + times_.service_ms(class_of(item));
    const double expected = once / (1 - failures) + failures * failure_penalty_ms;
    return clock::duration(static_cast<std::int64_t>(std::ceil(expected)));
}

template <pace_model Pace>
std::uint32_t basic_queue<Pace>::limit(clock::time_point now) const
{
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(pace_.concurrency(now))));
}

// Returns the concurrency that is left to a class after the arriving more urgent work.
template <pace_model Pace>
double basic_queue<Pace>::capacity_for(std::uint32_t work_class, clock::time_point now) const
{
    const double all = pace_.concurrency(now);
    return std::max(all / starts_per_less_urgent, all - times_.slots_above(work_class, now));
}

// Returns the remaining time of running statements, of which half has passed on average.
template <pace_model Pace>
double basic_queue<Pace>::running_backlog_ms() const
{
    double backlog = 0;
    for (const auto& [id, each] : running_) {
        backlog += each.charged_ms / 2;
    }
    return backlog;
}

template <pace_model Pace>
double basic_queue<Pace>::wait_ms(const waiting_work& entering, clock::time_point now) const
{
    double ahead = 0;
    std::uint32_t own_ahead = 0;
    for (const waiting_work& each : waiting_) {
        const bool is_own = each.work_class == entering.work_class &&
                            (each.work_class == 0 || each.owner == entering.owner) &&
                            each.item.deadline <= entering.item.deadline;
        own_ahead += is_own ? 1 : 0;
        if (is_own || each.work_class < entering.work_class) {
            ahead += times_.service_ms(each.work_class);
        }
    }
    if (entering.work_class > 0) {
        ahead += shares_.others_ahead(entering.owner, own_ahead) *
                 times_.service_ms(entering.work_class);
    }
    if (ahead == 0 && running_.size() < limit(now)) {
        return 0;
    }
    return (ahead + running_backlog_ms()) / capacity_for(entering.work_class, now);
}

template <pace_model Pace>
double basic_queue<Pace>::required_ms(const waiting_work& entering, double wait) const
{
    const double service = times_.service_ms(entering.work_class);
    if (wait > 0) {
        return wait + service;
    }
    // An idle server is always tried: an estimate that refuses everything could not improve.
    return running_.empty() ? 0 : service * min_service_share;
}

template <pace_model Pace>
std::optional<refusal> basic_queue<Pace>::check(const waiting_work& entering, clock::time_point now)
{
    const auto is_same = [&](const auto& each) { return each.item.id == entering.item.id; };
    if (running_.contains(entering.item.id) || std::ranges::any_of(waiting_, is_same)) {
        return refuse(entering, reasons::duplicate_id, now);
    }
    if (entering.item.deadline <= now) {
        return refuse(entering, reasons::deadline_passed, now);
    }
    if (required_ms(entering, wait_ms(entering, now)) > ms(entering.item.deadline - now)) {
        return refuse(entering, reasons::deadline_unreachable, now);
    }
    if (would_delay_urgent(entering, now)) {
        return refuse(entering, reasons::would_delay_urgent, now);
    }
    return std::nullopt;
}

// Less urgent work starts before more urgent work only by its one start in sixteen, and delays what
// starts after it by its service time.
template <pace_model Pace>
bool basic_queue<Pace>::would_delay_urgent(const waiting_work& entering, clock::time_point now)
{
    std::size_t urgent = 0;
    std::size_t less_urgent = 0;
    for (const waiting_work& each : waiting_) {
        urgent += each.work_class < entering.work_class ? 1 : 0;
        less_urgent += each.work_class >= entering.work_class ? 1 : 0;
    }
    const std::size_t first_delayed =
        starts_per_less_urgent * (less_urgent + 1) - 1 - urgent_starts_;
    if (entering.work_class <= 1 || urgent <= first_delayed) {
        return false;
    }
    sort_by_service_order();
    const double all = pace_.concurrency(now);
    const double delay = times_.service_ms(entering.work_class) / all;
    double ahead = running_backlog_ms();
    for (std::size_t index = 0; index < urgent; ++index) {
        const waiting_work& each = waiting_[index];
        const double service = times_.service_ms(each.work_class);
        const double slack = ms(each.item.deadline - now) - ahead / all - service;
        if (index >= first_delayed && slack >= 0 && slack < delay) {
            return true;
        }
        ahead += service;
    }
    return false;
}

// Removes the least urgent work if the queue is full and `entering` is more urgent, or of an
// organisation that has fewer entries.
template <pace_model Pace>
bool basic_queue<Pace>::make_room(const waiting_work& entering, clock::time_point now)
{
    if (waiting_.size() < max_waiting) {
        return true;
    }
    const auto cost = [this](const waiting_work& each) {
        return std::tuple(each.work_class, shares_.waiting(each.owner), each.item.deadline,
                          each.sequence);
    };
    std::size_t worst = 0;
    for (std::size_t index = 1; index < waiting_.size(); ++index) {
        if (cost(waiting_[index]) > cost(waiting_[worst])) {
            worst = index;
        }
    }
    const waiting_work& last = waiting_[worst];
    const bool is_over_share = last.work_class > 0 && last.work_class == entering.work_class &&
                               shares_.waiting(last.owner) > shares_.waiting(entering.owner) + 1;
    if (last.work_class <= entering.work_class && !is_over_share) {
        return false;
    }
    removed_.push_back(refuse(last, reasons::displaced, now));
    remove(worst);
    return true;
}

template <pace_model Pace>
refusal basic_queue<Pace>::refuse(const waiting_work& refused, std::string_view reason,
                                  clock::time_point now) const
{
    const double wait = wait_ms(refused, now);
    const bool is_full = reason == reasons::queue_full || reason == reasons::displaced;
    const double until_room = is_full
                                  ? wait * full_queue_share
                                  : required_ms(refused, wait) - ms(refused.item.deadline - now);
    const double bounded = std::clamp(until_room, min_retry_after_ms, max_retry_after_ms);
    const double spread = bounded * (1 + spread_of(refused.item.id));
    return {refused.item.id, clock::duration(static_cast<std::int64_t>(std::ceil(spread))), reason};
}

template <pace_model Pace>
void basic_queue<Pace>::remove(std::size_t index)
{
    if (!waiting_[index].item.continues_transaction) {
        shares_.leave(waiting_[index].owner);
    }
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
}

// Sorts by the approximate order of service: organisations of a priority take turns.
template <pace_model Pace>
void basic_queue<Pace>::sort_by_service_order()
{
    const auto by_deadline = [](const waiting_work& left, const waiting_work& right) {
        return std::tie(left.item.deadline, left.sequence) <
               std::tie(right.item.deadline, right.sequence);
    };
    std::ranges::sort(waiting_, by_deadline);
    std::map<std::pair<std::uint32_t, std::string_view>, double> ranks;
    for (waiting_work& each : waiting_) {
        each.rank = each.work_class == 0 ? 0 : ranks[each.owner]++;
    }
    std::ranges::stable_sort(waiting_, [](const waiting_work& left, const waiting_work& right) {
        return std::tie(left.work_class, left.rank) < std::tie(right.work_class, right.rank);
    });
}

template <pace_model Pace>
void basic_queue<Pace>::remove_late(clock::time_point now)
{
    for (std::size_t index = waiting_.size(); index-- > 0;) {
        const waiting_work& each = waiting_[index];
        const double required = running_.empty() ? 0 : required_ms(each, 0);
        const double remaining = ms(each.item.deadline - now);
        if (remaining <= 0 || required > remaining) {
            removed_.push_back(refuse(each, reasons::deadline_passed, now));
            remove(index);
        }
    }
}

// More urgent work may have arrived since an entry was queued.
template <pace_model Pace>
void basic_queue<Pace>::remove_hopeless(clock::time_point now)
{
    if (running_.size() < limit(now)) {
        return;
    }
    sort_by_service_order();
    double ahead = running_backlog_ms();
    std::vector<std::size_t> hopeless;
    for (std::size_t index = 0; index < waiting_.size(); ++index) {
        const waiting_work& each = waiting_[index];
        const double service = times_.service_ms(each.work_class);
        const double wait = ahead / capacity_for(each.work_class, now);
        if (wait * hopeless_wait_share + service > ms(each.item.deadline - now)) {
            hopeless.push_back(index);
        }
        else {
            ahead += service;
        }
    }
    for (auto index = hopeless.rbegin(); index != hopeless.rend(); ++index) {
        removed_.push_back(refuse(waiting_[*index], reasons::deadline_unreachable, now));
        remove(*index);
    }
}

// Returns the index of the work to start. Some work waits.
template <pace_model Pace>
std::size_t basic_queue<Pace>::select(clock::time_point now)
{
    std::size_t first = 0;
    for (std::size_t index = 1; index < waiting_.size(); ++index) {
        if (precedes(waiting_[index], waiting_[first], now)) {
            first = index;
        }
    }
    const std::uint32_t urgent = waiting_[first].work_class;
    std::optional<std::size_t> oldest; // of the less urgent
    for (std::size_t index = 0; index < waiting_.size(); ++index) {
        if (waiting_[index].work_class > urgent &&
            (!oldest || waiting_[index].sequence < waiting_[*oldest].sequence)) {
            oldest = index;
        }
    }
    const bool is_turn = oldest && urgent_starts_ + 1 >= starts_per_less_urgent;
    urgent_starts_ = oldest && !is_turn ? urgent_starts_ + 1 : 0;
    return is_turn ? *oldest : first;
}

template <pace_model Pace>
bool basic_queue<Pace>::precedes(const waiting_work& left, const waiting_work& right,
                                 clock::time_point now) const
{
    if (left.work_class != right.work_class) {
        return left.work_class < right.work_class;
    }
    if (left.work_class > 0 && left.owner != right.owner) {
        const double left_tag = shares_.start_tag(left.owner);
        const double right_tag = shares_.start_tag(right.owner);
        if (left_tag != right_tag) {
            return left_tag < right_tag;
        }
    }
    const bool is_left_late = is_late(left, now);
    const bool is_right_late = is_late(right, now);
    return std::tie(is_left_late, left.item.deadline, left.sequence) <
           std::tie(is_right_late, right.item.deadline, right.sequence);
}

// Returns whether work that started now would likely end after its objective, if that matters.
template <pace_model Pace>
bool basic_queue<Pace>::is_late(const waiting_work& each, clock::time_point now) const
{
    return order_ == service_order::objective_first &&
           ms(each.item.objective - now) < times_.service_ms(each.work_class);
}

template class basic_queue<server_pace>;
template class basic_queue<fixed_pace>;

} // namespace primrosehead::admission
