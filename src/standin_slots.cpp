#include "standin_slots.h"

#include <algorithm>

namespace primrosehead::standin {

boost::asio::awaitable<bool> execution_slots::acquire(clock::time_point deadline)
{
    const std::uint64_t ticket = next_ticket_++;
    queue_.push_back(ticket);
    while (free_ == 0 || queue_.front() != ticket) {
        if (clock::now() >= deadline) {
            std::erase(queue_, ticket);
            changed_.notify_all();
            co_return false;
        }
        co_await changed_.wait_until(deadline);
    }
    queue_.pop_front();
    --free_;
    if (free_ > 0) {
        changed_.notify_all();
    }
    co_return true;
}

void execution_slots::release()
{
    ++free_;
    changed_.notify_all();
}

} // namespace primrosehead::standin
