// Condition variable for coroutines.
#pragma once

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace primrosehead::standin {

// Not thread-safe: all calls are made on one thread.
class notifier {
  public:
    explicit notifier(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

    // Returns at the next `notify_all` or at `deadline`, whichever comes first.
    [[nodiscard]] boost::asio::awaitable<void> wait_until(clock::time_point deadline);
    void notify_all();

  private:
    boost::asio::any_io_executor executor_;
    std::list<boost::asio::steady_timer> timers_;
};

// Suspends the caller for `duration`; returns immediately if it is not positive.
[[nodiscard]] boost::asio::awaitable<void> pause_for(clock::duration duration);

} // namespace primrosehead::standin
