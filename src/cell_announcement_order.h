// The order in which a server made its announcements: by its start, then by their sequence. Pure.
#pragma once

#include <cstdint>

namespace primrosehead::cell {

struct announcement_stamp {
    std::uint64_t born_ms = 0; // Unix time of the server's start; 0: unknown
    std::uint64_t sequence = 0;
};

[[nodiscard]] constexpr bool has_other_start(announcement_stamp left,
                                             announcement_stamp right) noexcept
{
    return left.born_ms != right.born_ms && left.born_ms != 0 && right.born_ms != 0;
}

[[nodiscard]] constexpr bool is_later(announcement_stamp left, announcement_stamp right) noexcept
{
    return has_other_start(left, right) ? left.born_ms > right.born_ms
                                        : left.sequence > right.sequence;
}

} // namespace primrosehead::cell
