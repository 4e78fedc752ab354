// Lets coroutines wait until a time of `clock`.
#pragma once

#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace primrosehead {

// Waits until `time` or until the timer is cancelled.
[[nodiscard]] boost::asio::awaitable<void> wait_until(boost::asio::steady_timer& timer,
                                                      clock::time_point time);

} // namespace primrosehead
