// The one clock of the system: it never goes back, in milliseconds.
//
// Decisions never read it; they take a `clock::time_point` as an argument.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace primrosehead {

// A std::chrono clock over the time since the machine's start, suspension included: a lease must
// not outlive a suspension that its keeper lived through.
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
