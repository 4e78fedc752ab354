// A contract's amounts as integers, in thousandths of a request, and the division of its floor.
#pragma once

#include <primrosehead/limits.h>

#include <cstdint>

namespace primrosehead::limits {

struct contract_amounts {
    std::int64_t rate = 0; // per second
    std::int64_t burst = 0;
    std::int64_t floor_rate = 0;      // of one instance, per second
    std::int64_t floor_burst = 0;     // of one instance
    std::int64_t max_outstanding = 0; // upper bound on granted, unexpired tokens
};

// Converts a contract; all amounts are rounded down.
[[nodiscard]] contract_amounts amounts_of(const contract& terms);

// True if the floor is the whole contract: the leader grants nothing.
[[nodiscard]] bool is_static_split(const contract& terms) noexcept;

// Number of equal parts that the floor is divided into: the next power of two above the number of
// instances, so that a new instance's floor rarely reduces those of the others. In a static split,
// the number of instances.
[[nodiscard]] std::uint32_t floor_divisor(const contract& terms) noexcept;

} // namespace primrosehead::limits
