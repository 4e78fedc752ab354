#include "disk_id.h"

#include <array>
#include <cstdio>
#include <random>

namespace primrosehead {

std::string random_disk_id()
{
    std::random_device source;
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%08x%08x%08x%08x", source(), source(), source(),
                  source());
    return digits.data();
}

} // namespace primrosehead
