// The stand-in's execution slots, which limit the number of concurrent statements.
#pragma once

#include "standin_notifier.h"

#include <cstdint>
#include <deque>

namespace primrosehead::standin {

// A semaphore for coroutines that serves waiters in order of arrival.
class execution_slots {
  public:
    execution_slots(boost::asio::any_io_executor executor, std::uint32_t count)
        : changed_(std::move(executor)), free_(count)
    {
    }

    // Acquires a slot. Returns false if none is available by `deadline`.
    [[nodiscard]] boost::asio::awaitable<bool> acquire(clock::time_point deadline);
    void release();

  private:
    notifier changed_;
    std::uint32_t free_;
    std::uint64_t next_ticket_ = 1;
    std::deque<std::uint64_t> queue_;
};

} // namespace primrosehead::standin
