#include "wait_list.h"

#include "clock_timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace primrosehead {

namespace net = boost::asio;

net::awaitable<void> wait_list::wait(net::any_io_executor executor, clock::time_point deadline)
{
    net::steady_timer timer(executor);
    timer.expires_at(to_steady_time(deadline));
    const auto position = timers_.insert(timers_.end(), &timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    timers_.erase(position);
}

void wait_list::wake_all()
{
    for (net::steady_timer* const timer : timers_) {
        timer->cancel();
    }
}

} // namespace primrosehead
