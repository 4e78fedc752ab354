// Positions in a database group's log, and their comparison over changes of primary.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace primrosehead {

// A place in a log. Indexes go on rising over terms, as in a consensus log.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    // clang-tidy 14 takes the comparison with 0 inside for a null pointer.
    friend constexpr auto operator<=>(const log_position&, const log_position&) =
        default; // NOLINT(modernize-use-nullptr)
};

// The first term that a primary served and the last index it kept from earlier terms.
struct term_boundary {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
};

// Where a session's position stands in the history that survived.
enum class position_status {
    retained, // the entry is part of the present history
    lost,     // a later term began before that index: the entry is gone
    unknown,  // of a term that this history has not heard of yet
};

// Tells where `seen` stands, given the terms of the group in rising order.
[[nodiscard]] position_status classify_position(log_position seen,
                                                std::span<const term_boundary> terms) noexcept;

// True when a server at `applied` shows everything up to `required`.
// Both must be kept in the same history.
[[nodiscard]] constexpr bool reaches(log_position applied, log_position required) noexcept
{
    return applied.index >= required.index;
}

} // namespace primrosehead
