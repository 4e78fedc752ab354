#include "gateway_timer.h"

#include "clock_timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace primrosehead {

namespace net = boost::asio;

net::awaitable<void> wait_until(net::steady_timer& timer, clock::time_point time)
{
    timer.expires_at(to_steady_time(time));
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

} // namespace primrosehead
