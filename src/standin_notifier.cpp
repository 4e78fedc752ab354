#include "standin_notifier.h"

#include "clock_timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace primrosehead::standin {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

} // namespace

net::awaitable<void> notifier::wait_until(clock::time_point deadline)
{
    const std::chrono::steady_clock::time_point expiry = to_steady_time(deadline);
    const auto timer = timers_.emplace(timers_.end(), executor_, expiry);
    co_await timer->async_wait(no_throw);
    timers_.erase(timer);
}

void notifier::notify_all()
{
    for (net::steady_timer& each : timers_) {
        each.cancel();
    }
}

net::awaitable<void> pause_for(clock::duration duration)
{
    if (duration.count() <= 0) {
        co_return;
    }
    net::steady_timer timer(co_await net::this_coro::executor, std::chrono::milliseconds(duration));
    co_await timer.async_wait(no_throw);
}

} // namespace primrosehead::standin
