// The system's monotonic clock, in milliseconds.
//
// Decision code does not read the clock; it takes a `clock::time_point` as an argument.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace primrosehead {

// A std::chrono clock of the time since boot, including suspension: a lease must also expire while
// its holder is suspended.
struct clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        std::timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
    }
};

// Converts a time point to the milliseconds used in messages.
[[nodiscard]] constexpr std::int64_t to_ms(clock::time_point time) noexcept
{
    return time.time_since_epoch().count();
}

// Converts the milliseconds of a message to a time point.
[[nodiscard]] constexpr clock::time_point from_ms(std::int64_t milliseconds) noexcept
{
    return clock::time_point(clock::duration(milliseconds));
}

} // namespace primrosehead
