// Positions in a database group's log, and their comparison across changes of the primary.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace primrosehead {

// A position in a log. Indexes increase across terms, as in a consensus log.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    // clang-tidy 14 reports the implied comparison with 0 as one with a null pointer.
    friend constexpr auto operator<=>(const log_position&, const log_position&) =
        default; // NOLINT(modernize-use-nullptr)
};

// A term that a primary served, and the last index that it retained from earlier terms.
struct term_boundary {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
};

// Whether a session's position is part of the group's present history.
enum class position_status {
    retained, // the present history contains the entry
    lost,     // a later term began before that index, so the entry was discarded
    unknown,  // the term is newer than all known terms
};

// Returns the status of `position`, given the terms of the group in ascending order.
[[nodiscard]] position_status classify_position(log_position position,
                                                std::span<const term_boundary> terms) noexcept;

// True when a server at `applied` has applied all entries up to `required`. Both positions must be
// retained in the same history.
[[nodiscard]] constexpr bool reaches(log_position applied, log_position required) noexcept
{
    return applied.index >= required.index;
}

} // namespace primrosehead
