// When a group uses homes, and how many connections a home may hold. Pure.
#pragma once

#include <cstdint>

namespace primrosehead::pooler {

// True if a server takes fewer than `connections_per_instance` connections per live instance, and
// control reports the primaries' log positions, which instances without connections can't observe.
// A `connections_per_instance` of 0 means never.
[[nodiscard]] bool uses_homes(std::uint32_t connection_limit, std::uint32_t live_instances,
                              double connections_per_instance, bool has_positions) noexcept;

// Returns how many of a server's connections its home may hold. Two instances that both act as home
// for a moment, which the instances' lists of peers can't exclude, then rarely reach the limit.
[[nodiscard]] std::uint32_t home_connection_limit(std::uint32_t connection_limit) noexcept;

} // namespace primrosehead::pooler
