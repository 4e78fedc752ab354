#include "admission_queue.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <utility>

namespace primrosehead::admission {

namespace {

constexpr clock::duration retry_after{100};

} // namespace

std::optional<refusal> queue::submit(work item, clock::time_point /*now*/)
{
    if (waiting_.size() >= config::max_queued_per_server) {
        return refusal{item.id, retry_after, "queue full"};
    }
    const auto is_served_first = [](const work& left, const work& right) {
        if (left.continues_transaction != right.continues_transaction) {
            return left.continues_transaction;
        }
        return left.priority < right.priority;
    };
    waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), item, is_served_first),
                    std::move(item));
    return std::nullopt;
}

std::optional<std::uint64_t> queue::start_next(clock::time_point /*now*/)
{
    if (waiting_.empty() || running_ >= slots_) {
        return std::nullopt;
    }
    const std::uint64_t id = waiting_.front().id;
    waiting_.erase(waiting_.begin());
    ++running_;
    return id;
}

void queue::finish(std::uint64_t /*id*/, outcome /*result*/, clock::time_point /*now*/)
{
    --running_;
}

bool queue::cancel(std::uint64_t id)
{
    return std::erase_if(waiting_, [&](const work& item) { return item.id == id; }) > 0;
}

std::vector<refusal> queue::expire(clock::time_point now)
{
    std::vector<refusal> expired;
    std::erase_if(waiting_, [&](const work& item) {
        if (now < item.deadline) {
            return false;
        }
        expired.push_back({item.id, retry_after, "deadline passed"});
        return true;
    });
    return expired;
}

void queue::set_announced_slots(std::uint32_t slots, clock::time_point /*now*/)
{
    slots_ = slots;
}

double queue::concurrency(clock::time_point /*now*/) const
{
    return slots_;
}

} // namespace primrosehead::admission
