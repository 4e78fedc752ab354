// Max-min fair division of a pool.
#pragma once

#include <cstdint>
#include <vector>

namespace primrosehead::limits {

// Returns the largest level L for which sum(min(wanted, L)) is at most `pool`, or the largest
// element of `wanted` if the pool covers all of them.
[[nodiscard]] std::int64_t fair_level(std::vector<std::int64_t> wanted, std::int64_t pool);

} // namespace primrosehead::limits
