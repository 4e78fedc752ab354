#include "pooler_limits.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double ppm_of_one = 1e6;
constexpr double ms_per_s = 1'000;
// Demand is averaged over this: long enough for small organisations, short enough for a shift.
constexpr double demand_time_constant_ms = 1'000;
constexpr clock::duration max_retry_after{5'000};
// Tokens of the leader are counted when they are granted: late use would pass the rate elsewhere.
constexpr clock::duration grant_validity{500};
// Shares follow demand within seconds; a report costs the leader some bytes an organisation.
constexpr clock::duration steady_share_report_interval{600};
constexpr double min_demand_per_s = 0.02; // operations a second

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

// What this instance may use of the fleet's, when instances share out `part` of it.
double limiter::own_share(double part) const noexcept
{
    return (is_isolated_ ? 1 : part) * share_ / ppm_of_one;
}

double limiter::capacity() const noexcept
{
    const double held = burst_ * own_share(distributed_.burst) + tolerance_;
    // A small share must still let one operation pass.
    return share_ == 0 ? 0 : std::max(held, 1.0);
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
        // Nobody spent this share before: a new cell, or what others gave up full.
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
    const std::uint32_t kept = std::min(tokens, missing_tokens(now));
    tokens_ += kept;
    const std::uint32_t beyond = tokens - kept;
    if (beyond > 0) {
        granted_ = now - granted_at_ < grant_validity ? granted_ + beyond : beyond;
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
        return max_retry_after;
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
