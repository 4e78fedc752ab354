#include "pooler_limits.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double millionths_of_one = 1e6;
constexpr double ms_per_s = 1'000;
// Demand is averaged over this: long enough for small organisations, short enough for a shift.
constexpr double demand_time_ms = 1'000;
constexpr clock::duration longest_retry{5'000};
// Tokens of the leader are counted when they are granted: late use would pass the rate elsewhere.
constexpr clock::duration grant_valid{500};
// Shares follow demand within seconds; a report costs the leader some bytes an organisation.
constexpr clock::duration usual_shares_interval{600};
constexpr double least_demand = 0.02; // operations a second

} // namespace

clock::duration shares_interval(bool lacks_share) noexcept
{
    return lacks_share ? clock::duration(0) : usual_shares_interval;
}

bool limiter::lacks_share() const noexcept
{
    return share_ == 0 && (asked_ > 0 || demand_ >= least_demand);
}

void limiter::change(double rate, double burst, own_parts shared_out, double tolerated) noexcept
{
    rate_ = rate;
    burst_ = burst;
    shared_out_ = shared_out;
    tolerated_ = tolerated;
    tokens_ = std::min(tokens_, capacity());
}

void limiter::set_alone(bool is_alone, clock::time_point now) noexcept
{
    if (is_alone != is_alone_) {
        refill(now);
        is_alone_ = is_alone;
        tokens_ = std::min(tokens_, capacity());
    }
}

// What this instance may use of the fleet's, when instances share out `part` of it.
double limiter::own(double part) const noexcept
{
    return (is_alone_ ? 1 : part) * share_ / millionths_of_one;
}

double limiter::capacity() const noexcept
{
    const double held = burst_ * own(shared_out_.burst) + tolerated_;
    // A small share must still let one operation pass.
    return share_ == 0 ? 0 : std::max(held, 1.0);
}

void limiter::refill(clock::time_point now) noexcept
{
    const double passed_ms = static_cast<double>((now - refilled_at_).count());
    refilled_at_ = now;
    tokens_ += rate_ * own(shared_out_.rate) * passed_ms / ms_per_s;
    tokens_ = std::min(tokens_, capacity());
}

void limiter::set_share(std::uint32_t millionths, clock::time_point now) noexcept
{
    refill(now);
    share_ = millionths;
    if (is_fresh_ && share_ > 0) {
        // Nobody spent this share before: a new cell, or what others gave up full.
        tokens_ = capacity();
        is_fresh_ = false;
    }
    tokens_ = std::min(tokens_, capacity());
}

void limiter::lose_share(clock::time_point now) noexcept
{
    refill(now);
    share_ = 0;
    tokens_ = 0;
}

bool limiter::take(clock::time_point now) noexcept
{
    ++asked_;
    return take_again(now);
}

bool limiter::take_again(clock::time_point now) noexcept
{
    if (granted_ > 0 && now - granted_at_ < grant_valid) {
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

void limiter::granted(std::uint32_t tokens, clock::time_point now) noexcept
{
    const std::uint32_t kept = std::min(tokens, missing(now));
    tokens_ += kept;
    const std::uint32_t beyond = tokens - kept;
    if (beyond > 0) {
        granted_ = now - granted_at_ < grant_valid ? granted_ + beyond : beyond;
        granted_at_ = now;
    }
}

std::uint32_t limiter::missing(clock::time_point now) noexcept
{
    refill(now);
    return static_cast<std::uint32_t>(std::max(0.0, capacity() - tokens_));
}

void limiter::give_back() noexcept
{
    tokens_ = std::min(tokens_ + 1, capacity());
}

clock::duration limiter::retry_after() const noexcept
{
    const double per_ms = rate_ * own(shared_out_.rate) / ms_per_s;
    if (per_ms <= 0) {
        return longest_retry;
    }
    const auto wait = static_cast<std::int64_t>(std::ceil((1 - tokens_) / per_ms));
    return std::clamp(clock::duration(wait), clock::duration(1), longest_retry);
}

double limiter::demand(clock::time_point now) noexcept
{
    const double passed_ms = static_cast<double>((now - counted_at_).count());
    if (passed_ms > 0) {
        const double weight = 1 - std::exp(-passed_ms / demand_time_ms);
        const double rate = asked_ * ms_per_s / passed_ms;
        demand_ += weight * (rate - demand_);
        asked_ = 0;
        counted_at_ = now;
    }
    return demand_;
}

} // namespace primrosehead::pooler
