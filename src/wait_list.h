// Coroutines that wait for the same event. Single-threaded.
#pragma once

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace primrosehead {

class wait_list {
  public:
    // Returns after the next `wake_all`, or at the deadline.
    [[nodiscard]] boost::asio::awaitable<void> wait(boost::asio::any_io_executor executor,
                                                    clock::time_point deadline);
    void wake_all();

    [[nodiscard]] bool empty() const noexcept { return timers_.empty(); }

  private:
    std::list<boost::asio::steady_timer*> timers_;
};

} // namespace primrosehead
