#include "incarnation.h"

#include <chrono>

namespace primrosehead {

std::uint64_t make_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

} // namespace primrosehead
