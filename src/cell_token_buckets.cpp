#include "cell_token_buckets.h"

#include "cell_share_allocator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace primrosehead::cell {

namespace {

// With so many instances half is central.
constexpr std::uint32_t half_central_instances = 16;
// The rest covers 0.8 s without the leader at half of a rate whose burst is one second's.
constexpr double max_central_burst_fraction = 0.4;
constexpr double ms_per_s = 1'000;

} // namespace

std::uint32_t central_rate_ppm(std::uint32_t instances) noexcept
{
    // In steps, so that an instance more or less seldom changes it.
    const std::uint64_t step = std::bit_ceil(std::max(instances, 1U));
    return static_cast<std::uint32_t>(full_share_ppm * step / (step + half_central_instances));
}

double central_burst_fraction(std::uint32_t central_rate) noexcept
{
    return std::min(static_cast<double>(central_rate) / full_share_ppm, max_central_burst_fraction);
}

void token_buckets::set_limits(std::string_view organisation, double rate, double burst)
{
    auto found = buckets_.find(organisation);
    if (found == buckets_.end()) {
        found = buckets_.emplace(std::string(organisation), bucket{0, 0, 0, elected_at_}).first;
    }
    bucket& own = found->second;
    own.rate = rate;
    own.burst = burst;
    own.tokens = std::min(own.tokens, own.burst);
}

std::uint32_t token_buckets::take(std::string_view organisation, std::uint32_t wanted,
                                  std::uint32_t available, clock::time_point now)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end()) {
        return 0;
    }
    bucket& own = found->second;
    const double passed_ms = static_cast<double>((now - own.refilled_at).count());
    const double part = static_cast<double>(available) / full_share_ppm;
    own.tokens = std::min(own.burst * part, own.tokens + own.rate * part * passed_ms / ms_per_s);
    own.refilled_at = now;
    const auto granted = std::min(wanted, static_cast<std::uint32_t>(std::floor(own.tokens)));
    own.tokens -= granted;
    return granted;
}

} // namespace primrosehead::cell
