#include "limits_amounts.h"

#include <algorithm>
#include <bit>

namespace primrosehead::limits {

namespace {

std::int64_t thousandths(double amount)
{
    return static_cast<std::int64_t>(amount * static_cast<double>(tokens_per_request));
}

// Half of what isn't floor, so that a new leader can count as much again for the one before. A
// contract too small for that keeps two requests; its new leader then waits for old grants to end.
std::int64_t max_outstanding_of(std::int64_t burst, std::int64_t floor_total)
{
    const std::int64_t whole = std::max<std::int64_t>(burst - floor_total, 0);
    return std::max(whole / 2, std::min(whole, 2 * tokens_per_request));
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
    const double part = std::clamp(terms.floor_share, 0.0, 1.0) / floor_divisor(terms);
    contract_amounts made;
    made.rate = thousandths(terms.rate);
    made.burst = thousandths(terms.burst);
    made.floor_rate = thousandths(terms.rate * part);
    made.floor_burst = thousandths(terms.burst * part);
    const std::int64_t floor_total = made.floor_burst * floor_divisor(terms);
    made.max_outstanding = is_static_split(terms) ? 0 : max_outstanding_of(made.burst, floor_total);
    return made;
}

} // namespace primrosehead::limits
