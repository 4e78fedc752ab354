// Max-min fair division of a pool.
#pragma once

#include <cstdint>
#include <vector>

namespace primrosehead::limits {

// The level L at which sum(min(wanted, L)) is `pool`; the largest wanted when the pool is enough.
[[nodiscard]] std::int64_t fair_level(std::vector<std::int64_t> wanted, std::int64_t pool);

} // namespace primrosehead::limits
