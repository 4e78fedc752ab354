#include "limits_split.h"

#include <algorithm>

namespace primrosehead::limits {

std::int64_t fair_level(std::vector<std::int64_t> wanted, std::int64_t pool)
{
    std::ranges::sort(wanted);
    std::int64_t remaining = std::max<std::int64_t>(pool, 0);
    auto claimants = static_cast<std::int64_t>(wanted.size());
    std::int64_t level = 0;
    for (const std::int64_t amount : wanted) {
        const std::int64_t even_share = remaining / claimants;
        if (amount > even_share) {
            return even_share;
        }
        level = amount;
        remaining -= amount;
        --claimants;
    }
    return level;
}

} // namespace primrosehead::limits
