#include "pooler_home_limits.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

constexpr std::uint32_t home_part_numerator = 3;
constexpr std::uint32_t home_part_denominator = 5;

} // namespace

bool uses_homes(std::uint32_t connection_limit, std::uint32_t live_instances,
                double connections_per_instance, bool has_positions) noexcept
{
    return connections_per_instance > 0 && has_positions && connection_limit > 0 &&
           static_cast<double>(connection_limit) < connections_per_instance * live_instances;
}

std::uint32_t home_connection_limit(std::uint32_t connection_limit) noexcept
{
    return std::max(1U, connection_limit * home_part_numerator / home_part_denominator);
}

} // namespace primrosehead::pooler
