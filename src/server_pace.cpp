#include "server_pace.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::admission {

namespace {

// Round trips of real work spread by a factor of two and more (log-normal, 0.7): fewer samples
// can't tell a slower server from a few long statements.
constexpr std::uint32_t window_samples = 24;
constexpr double samples_per_variance = 49;     // 24 for a spread of 0.7
constexpr std::uint32_t min_window_samples = 6; // of a window that ended by time
constexpr clock::duration max_window{1'000};
constexpr std::uint32_t slow_windows_needed = 2;
constexpr double threshold_errors = 2.2; // standard errors of a window's mean
// A window ends early if it is slower by so many standard errors: a server that became much slower
// answers few statements in a second.
constexpr double early_errors = 3.3;
const double min_slowdown = std::log(1.5);
// Limits the influence of a single slow statement.
const double max_log_ratio = std::log(6.0);

constexpr double halving = 0.5;
// Share of the reduction of the limit by which round trips must fall if load is the cause.
constexpr double load_caused_share = 0.75;
// Between this and the share above, the trial is repeated if the server stays slow.
constexpr double unclear_share = 0.4;
constexpr std::uint32_t min_trial_samples = 8;
constexpr double clear_errors = 2.0; // standard errors that end a trial early
constexpr clock::duration min_known_bad_time{2'000};
constexpr clock::duration max_known_bad_time{16'000};

constexpr double reference_samples = 32; // afterwards the average is a moving one
// Without light load for so long, a trial shows whether load slows the server down.
// The interval doubles while checks find nothing.
constexpr clock::duration min_check_interval{10'000};
constexpr clock::duration max_check_interval{80'000};
// Work spreads at least so much, although a few samples may agree.
constexpr double min_log_variance = 0.49;
constexpr double speed_up_weight = 0.3; // of a window that is faster than the reference

constexpr double result_time_constant_ms = 1'500;
constexpr double prior_successes = 8;
constexpr double tolerated_failure_share = 0.05;
constexpr double failure_factor = 2; // concurrency lost per share of failures
constexpr double health_check_weight = 0.2;
constexpr double busy_factor = 0.7;
constexpr clock::duration busy_interval{100}; // one reduction for a burst of BUSY answers
constexpr double idle_time_constant_ms = 3'000;
constexpr clock::duration idle_reset{10'000}; // afterwards the limit has returned to the slots

double age_ms(clock::time_point since, clock::time_point now)
{
    return std::max(0.0, static_cast<double>((now - since).count()));
}

} // namespace

server_pace::server_pace(std::uint32_t announced_slots)
    : slots_(std::max(1U, announced_slots)), limit_(slots_), check_interval_(min_check_interval)
{
}

void server_pace::set_announced_slots(std::uint32_t slots, clock::time_point now)
{
    if (std::max(1U, slots) != slots_) {
        slots_ = std::max(1U, slots);
        restart(now);
    }
}

void server_pace::restart(clock::time_point now)
{
    *this = server_pace(slots_);
    recorded_at_ = now;
}

void server_pace::start_at(double concurrency, clock::time_point now)
{
    restart(now);
    if (concurrency >= 1) {
        limit_ = std::min<double>(slots_, concurrency);
    }
}

void server_pace::record(const sample& ended, clock::time_point now)
{
    count_result(1, ended.result == outcome::done, now);
    if (now - recorded_at_ > idle_reset) {
        reset_limit(now);
    }
    recorded_at_ = now;
    if (ended.result == outcome::busy) {
        back_off(now);
    }
    else if (ended.result == outcome::done) {
        add_round_trip(ended, now);
    }
}

void server_pace::record_health_check(bool succeeded, clock::time_point now)
{
    count_result(health_check_weight, succeeded, now);
}

double server_pace::concurrency(clock::time_point now) const
{
    // Without samples the limit returns to the announced slots.
    const double aged = std::exp(-age_ms(recorded_at_, now) / idle_time_constant_ms);
    const double limit = slots_ + (limit_ - slots_) * aged;
    const double excess = std::max(0.0, failure_share(now) - tolerated_failure_share);
    return std::max(1.0, limit * (1 - std::min(1.0, failure_factor * excess)));
}

double server_pace::failure_share(clock::time_point now) const
{
    const double aged = std::exp(-age_ms(results_aged_at_, now) / result_time_constant_ms);
    return failed_ * aged / (prior_successes + (succeeded_ + failed_) * aged);
}

void server_pace::reset_limit(clock::time_point now)
{
    limit_ = slots_;
    is_trial_ = false;
    slow_windows_ = 0;
    limit_changed_at_ = now;
    window_ = window{.began_at = now};
}

void server_pace::count_result(double weight, bool succeeded, clock::time_point now)
{
    const double aged = std::exp(-age_ms(results_aged_at_, now) / result_time_constant_ms);
    succeeded_ = succeeded_ * aged + (succeeded ? weight : 0);
    failed_ = failed_ * aged + (succeeded ? 0 : weight);
    results_aged_at_ = now;
}

void server_pace::back_off(clock::time_point now)
{
    if (now - backed_off_at_ >= busy_interval) {
        limit_ = std::max(1.0, limit_ * busy_factor);
        backed_off_at_ = now;
    }
}

void server_pace::add_round_trip(const sample& ended, clock::time_point now)
{
    // Statements that started under an earlier limit say nothing about the present one.
    if (ended.started_at < limit_changed_at_) {
        return;
    }
    const double log_ms = std::log(std::max(1.0, age_ms(ended.started_at, now)));
    const bool is_light = ended.running <= std::max(1.0, limit_ * halving);
    if (is_light || light_at_ == clock::time_point{}) {
        light_at_ = now;
    }
    reference& known = references_[ended.work_class];
    if (known.samples > 0) {
        window_.sum += std::clamp(log_ms - known.log_ms, -max_log_ratio, max_log_ratio);
        window_.variance_sum += known.variance;
        ++window_.samples;
        window_.reached_limit |= ended.running >= std::floor(limit_);
    }
    if (!is_trial_) {
        learn_reference(known, log_ms, is_light);
    }
    evaluate_window(now);
}

// Loaded samples count only while there are too few others: a slowdown under load must not become
// the reference.
void server_pace::learn_reference(reference& known, double log_ms, bool is_light)
{
    if (!is_light && known.samples >= reference_samples) {
        return;
    }
    known.samples = std::min(reference_samples, known.samples + 1);
    const double difference = std::clamp(log_ms - known.log_ms, -max_log_ratio, max_log_ratio);
    known.log_ms += (known.samples == 1 ? log_ms - known.log_ms : difference / known.samples);
    if (known.samples > 1) {
        known.variance += (difference * difference - known.variance) / reference_samples;
        known.variance = std::max(min_log_variance, known.variance);
    }
}

void server_pace::evaluate_window(clock::time_point now)
{
    const double variance = window_.variance_sum / std::max(1U, window_.samples);
    const double error = std::sqrt(variance / std::max(1U, window_.samples));
    const bool is_full =
        window_.samples >= std::max<double>(window_samples, samples_per_variance * variance);
    const bool is_over =
        now - window_.began_at >= max_window && window_.samples >= min_window_samples;
    const bool is_far_slower = !is_trial_ && window_.samples >= min_window_samples &&
                               window_.mean() > min_slowdown + early_errors * error;
    if (!is_full && !is_over && !is_far_slower && !is_trial_clear(error)) {
        return;
    }
    const double slowdown = window_.mean();
    if (is_trial_) {
        evaluate_trial(slowdown, now);
    }
    else {
        evaluate_normal(slowdown, std::max(min_slowdown, threshold_errors * error), now);
    }
    window_ = window{.began_at = now};
}

// Returns whether few samples of a trial show already whether load is the cause: a trial costs half
// of the slots.
bool server_pace::is_trial_clear(double error) const
{
    if (!is_trial_ || window_.samples < min_trial_samples) {
        return false;
    }
    const double drop = slowdown_before_trial_ - window_.mean();
    const double expected = std::log(limit_before_trial_ / limit_);
    return std::abs(drop - load_caused_share * expected) > clear_errors * error;
}

void server_pace::evaluate_normal(double slowdown, double threshold, clock::time_point now)
{
    if (slowdown > threshold) {
        if (++slow_windows_ >= slow_windows_needed) {
            is_check_ = false;
            begin_trial(slowdown, now);
        }
        return;
    }
    slow_windows_ = 0;
    if (slowdown < 0) {
        shift_references(speed_up_weight * slowdown);
    }
    if (now - std::max(light_at_, checked_at_) >= check_interval_) {
        is_check_ = true;
        begin_trial(slowdown, now);
    }
    else if (slowdown < threshold * halving && window_.reached_limit) {
        raise_limit(now);
    }
}

void server_pace::begin_trial(double slowdown, clock::time_point now)
{
    slow_windows_ = 0;
    if (limit_ < 2) {
        shift_references(slowdown); // it can't run fewer: this is its pace
        return;
    }
    is_trial_ = true;
    limit_before_trial_ = limit_;
    slowdown_before_trial_ = slowdown;
    limit_ = std::max(1.0, std::ceil(std::floor(limit_) * halving));
    limit_changed_at_ = now;
}

void server_pace::evaluate_trial(double slowdown, clock::time_point now)
{
    is_trial_ = false;
    checked_at_ = now;
    const double expected = std::log(limit_before_trial_ / limit_);
    const double fallen_share = (slowdown_before_trial_ - slowdown) / expected;
    if (fallen_share < load_caused_share) {
        limit_ = limit_before_trial_;
        limit_changed_at_ = now;
        check_interval_ = std::min(check_interval_ * 2, max_check_interval);
        if (is_check_ || fallen_share < unclear_share) {
            shift_references(is_check_ ? slowdown : slowdown_before_trial_);
        }
        return;
    }
    check_interval_ = min_check_interval;
    shift_references(std::min(0.0, slowdown));
    const bool is_repeated = known_bad_limit_ > 0 && limit_before_trial_ >= known_bad_limit_;
    known_bad_limit_ = limit_before_trial_;
    known_bad_time_ = is_repeated && limit_ > 1 ? std::min(known_bad_time_ * 2, max_known_bad_time)
                                                : min_known_bad_time;
    known_bad_until_ = now + known_bad_time_;
}

// Adds one at a time, and stays below a limit that was too high until it may be tried again.
void server_pace::raise_limit(clock::time_point now)
{
    const double raised = std::min<double>(slots_, std::floor(limit_) + 1);
    if (known_bad_limit_ > 0 && raised >= known_bad_limit_ && now < known_bad_until_) {
        return;
    }
    if (raised >= known_bad_limit_ && now >= known_bad_until_ + known_bad_time_) {
        known_bad_limit_ = 0;
        known_bad_time_ = clock::duration{0};
    }
    limit_ = std::max(limit_, raised);
}

void server_pace::shift_references(double difference)
{
    for (auto& [work_class, known] : references_) {
        known.log_ms += difference;
    }
}

} // namespace primrosehead::admission
