// A contract in whole numbers: thousandths of a request, and how the floor is divided.
#pragma once

#include <primrosehead/limits.h>

#include <cstdint>

namespace primrosehead::limits {

struct contract_amounts {
    std::int64_t rate = 0; // a second
    std::int64_t burst = 0;
    std::int64_t floor_rate = 0;      // of one instance, a second
    std::int64_t floor_burst = 0;     // of one instance
    std::int64_t max_outstanding = 0; // outstanding at most
};

// Everything is rounded down.
[[nodiscard]] contract_amounts amounts_of(const contract& terms);

// True when the floor is everything: the leader grants nothing.
[[nodiscard]] bool is_static_split(const contract& terms) noexcept;

// The part of a floor's divisor that is fixed while instances come and go: the next power of two
// above their number, so that a newcomer's share takes nothing from anyone.
[[nodiscard]] std::uint32_t floor_divisor(const contract& terms) noexcept;

} // namespace primrosehead::limits
