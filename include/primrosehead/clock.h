// The one clock of the system: monotonic, in milliseconds.
//
// Decisions never read it; they take a `clock::time_point` as an argument.
#pragma once

#include <chrono>
#include <cstdint>

namespace primrosehead {

// A std::chrono clock over the machine's monotonic time.
struct clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        return time_point(std::chrono::duration_cast<duration>(since_start));
    }
};

// Milliseconds of a time point, as messages carry it.
[[nodiscard]] constexpr std::int64_t to_ms(clock::time_point time) noexcept
{
    return time.time_since_epoch().count();
}

// The time point that a message's milliseconds stand for.
[[nodiscard]] constexpr clock::time_point from_ms(std::int64_t milliseconds) noexcept
{
    return clock::time_point(clock::duration(milliseconds));
}

} // namespace primrosehead
