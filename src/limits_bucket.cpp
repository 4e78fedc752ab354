#include "limits_bucket.h"

#include <algorithm>

namespace primrosehead::limits {

namespace {

constexpr std::int64_t milliseconds_per_second = 1'000;

} // namespace

void bucket::mint(std::int64_t rate, clock::duration time) noexcept
{
    const std::int64_t minted = rate * std::max<std::int64_t>(time.count(), 0) + fraction_;
    tokens_ += minted / milliseconds_per_second;
    fraction_ = minted % milliseconds_per_second;
}

void bucket::cap(std::int64_t limit) noexcept
{
    tokens_ = std::min(tokens_, std::max<std::int64_t>(limit, 0));
}

void bucket::clear() noexcept
{
    tokens_ = 0;
    fraction_ = 0;
}

} // namespace primrosehead::limits
