// Conversion of `clock` times for Asio's steady timers.
#pragma once

#include <primrosehead/clock.h>

#include <chrono>

namespace primrosehead {

// Converts `time` to the steady clock, which does not advance while the machine is suspended. The
// result does not allow for suspensions after the call.
[[nodiscard]] inline std::chrono::steady_clock::time_point
to_steady_time(clock::time_point time) noexcept
{
    return std::chrono::steady_clock::now() + (time - clock::now());
}

} // namespace primrosehead
