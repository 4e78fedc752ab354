#include "pooler_limits.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double ppm_of_one = 1e6;
constexpr double ms_per_s = 1'000;
// Time constant of the demand's average: long enough for small organisations, short enough to
// follow demand that moves between instances.
constexpr double demand_time_constant_ms = 1'000;
constexpr clock::duration max_retry_after{5'000};
// The leader counts its tokens when it grants them. Used later, they would exceed the rate together
// with operations at other instances.
constexpr clock::duration grant_validity{500};
// Shares follow demand within seconds. A report costs the leader some bytes per organisation.
constexpr clock::duration steady_share_report_interval{600};
constexpr double min_demand_per_s = 0.02;

} // namespace

clock::duration share_report_interval(bool needs_share) noexcept
{
    return needs_share ? clock::duration(0) : steady_share_report_interval;
}

bool limiter::needs_share() const noexcept
{
    return share_ == 0 && (arrivals_ > 0 || demand_ >= min_demand_per_s);
}

void limiter::set_limits(double rate, double burst, distributed_fractions distributed,
                         double tolerance) noexcept
{
    rate_ = rate;
    burst_ = burst;
    distributed_ = distributed;
    tolerance_ = tolerance;
    tokens_ = std::min(tokens_, capacity());
}

void limiter::set_isolated(bool is_isolated, clock::time_point now) noexcept
{
    if (is_isolated != is_isolated_) {
        refill(now);
        is_isolated_ = is_isolated;
        tokens_ = std::min(tokens_, capacity());
    }
}

// Returns this instance's part of a fleet-wide limit of which `fraction` is distributed.
double limiter::own_share(double fraction) const noexcept
{
    return (is_isolated_ ? 1 : fraction) * share_ / ppm_of_one;
}

double limiter::capacity() const noexcept
{
    const double tokens = burst_ * own_share(distributed_.burst) + tolerance_;
    // Even a small share must admit one operation.
    return share_ == 0 ? 0 : std::max(tokens, 1.0);
}

void limiter::refill(clock::time_point now) noexcept
{
    const double passed_ms = static_cast<double>((now - refilled_at_).count());
    refilled_at_ = now;
    tokens_ += rate_ * own_share(distributed_.rate) * passed_ms / ms_per_s;
    tokens_ = std::min(tokens_, capacity());
}

void limiter::set_share(std::uint32_t millionths, clock::time_point now) noexcept
{
    refill(now);
    share_ = millionths;
    if (never_had_share_ && share_ > 0) {
        // The first share is unspent: the cell is new, or other instances released it full.
        tokens_ = capacity();
        never_had_share_ = false;
    }
    tokens_ = std::min(tokens_, capacity());
}

void limiter::drop_share(clock::time_point now) noexcept
{
    refill(now);
    share_ = 0;
    tokens_ = 0;
}

bool limiter::try_take(clock::time_point now) noexcept
{
    ++arrivals_;
    return try_take_uncounted(now);
}

bool limiter::try_take_counted_if_taken(clock::time_point now) noexcept
{
    const bool is_taken = try_take_uncounted(now);
    arrivals_ += is_taken ? 1 : 0;
    return is_taken;
}

bool limiter::try_take_uncounted(clock::time_point now) noexcept
{
    if (granted_ > 0 && now - granted_at_ < grant_validity) {
        --granted_;
        return true;
    }
    refill(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void limiter::add_granted_tokens(std::uint32_t tokens, clock::time_point now) noexcept
{
    const std::uint32_t added = std::min(tokens, missing_tokens(now));
    tokens_ += added;
    const std::uint32_t excess = tokens - added;
    if (excess > 0) {
        granted_ = now - granted_at_ < grant_validity ? granted_ + excess : excess;
        granted_at_ = now;
    }
}

std::uint32_t limiter::missing_tokens(clock::time_point now) noexcept
{
    refill(now);
    return static_cast<std::uint32_t>(std::max(0.0, capacity() - tokens_));
}

void limiter::return_token() noexcept
{
    tokens_ = std::min(tokens_ + 1, capacity());
}

clock::duration limiter::retry_after() const noexcept
{
    const double per_ms = rate_ * own_share(distributed_.rate) / ms_per_s;
    if (per_ms <= 0) {
        return told_retry_after_.value_or(max_retry_after);
    }
    const auto wait = static_cast<std::int64_t>(std::ceil((1 - tokens_) / per_ms));
    return std::clamp(clock::duration(wait), clock::duration(1), max_retry_after);
}

double limiter::demand(clock::time_point now) noexcept
{
    const double passed_ms = static_cast<double>((now - counted_at_).count());
    if (passed_ms > 0) {
        const double weight = 1 - std::exp(-passed_ms / demand_time_constant_ms);
        const double rate = arrivals_ * ms_per_s / passed_ms;
        demand_ += weight * (rate - demand_);
        arrivals_ = 0;
        counted_at_ = now;
    }
    return demand_;
}

} // namespace primrosehead::pooler
