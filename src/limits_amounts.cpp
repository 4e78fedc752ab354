#include "limits_amounts.h"

#include <algorithm>
#include <bit>

namespace primrosehead::limits {

namespace {

std::int64_t thousandths(double amount)
{
    return static_cast<std::int64_t>(amount * static_cast<double>(tokens_per_request));
}

// Half of the burst that is not floor, so that a new leader can reserve the same amount for grants
// of its predecessor. A contract too small for that allows two requests; its new leader then waits
// for the old grants to expire.
std::int64_t max_outstanding_of(std::int64_t burst, std::int64_t floor_total)
{
    const std::int64_t grantable = std::max<std::int64_t>(burst - floor_total, 0);
    return std::max(grantable / 2, std::min(grantable, 2 * tokens_per_request));
}

} // namespace

bool is_static_split(const contract& terms) noexcept
{
    return terms.floor_share >= 1.0;
}

std::uint32_t floor_divisor(const contract& terms) noexcept
{
    const std::uint32_t instances = std::max(terms.instances, 1U);
    return is_static_split(terms) ? instances : std::bit_ceil(instances + 1);
}

contract_amounts amounts_of(const contract& terms)
{
    const double floor_part = std::clamp(terms.floor_share, 0.0, 1.0) / floor_divisor(terms);
    contract_amounts amounts;
    amounts.rate = thousandths(terms.rate);
    amounts.burst = thousandths(terms.burst);
    amounts.floor_rate = thousandths(terms.rate * floor_part);
    amounts.floor_burst = thousandths(terms.burst * floor_part);
    const std::int64_t floor_total = amounts.floor_burst * floor_divisor(terms);
    amounts.max_outstanding =
        is_static_split(terms) ? 0 : max_outstanding_of(amounts.burst, floor_total);
    return amounts;
}

} // namespace primrosehead::limits
