// Arms Asio's steady timers for points of our own clock.
#pragma once

#include <primrosehead/clock.h>

#include <chrono>

namespace primrosehead {

// The steady clock's reading at `time`. The two clocks differ by the machine's suspensions.
[[nodiscard]] inline std::chrono::steady_clock::time_point to_steady_time(clock::time_point time) noexcept
{
    return std::chrono::steady_clock::now() + (time - clock::now());
}

} // namespace primrosehead
