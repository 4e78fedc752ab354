// Distinguishes the starts of one process.
#pragma once

#include <cstdint>

namespace primrosehead {

// Returns a number that is greater at every start, unless the time of day was set back.
[[nodiscard]] std::uint64_t make_incarnation();

} // namespace primrosehead
