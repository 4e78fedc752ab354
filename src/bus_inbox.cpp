#include "bus_inbox.h"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <exception>
#include <utility>

namespace primrosehead {

namespace {

// Other messages handled between two looks for consensus messages and timers.
constexpr std::size_t messages_per_turn = 16;

} // namespace

bus_inbox::bus_inbox(boost::asio::any_io_executor executor, handler handle, std::size_t max_waiting)
    : executor_(std::move(executor)), handle_(std::move(handle)), max_waiting_(max_waiting)
{
}

std::shared_ptr<bus_inbox> bus_inbox::make(boost::asio::any_io_executor executor, handler handle,
                                           std::size_t max_waiting)
{
    return std::shared_ptr<bus_inbox>(
        new bus_inbox(std::move(executor), std::move(handle), max_waiting));
}

void bus_inbox::add(const bus_origin& origin, const pb::envelope& message)
{
    const std::lock_guard lock(mutex_);
    (message.has_consensus() ? consensus_ : others_).push_back({origin, message});
    if (others_.size() > max_waiting_) {
        others_.pop_front();
        ++dropped_;
    }
    if (!std::exchange(is_turn_posted_, true)) {
        post_turn();
    }
}

void bus_inbox::post_turn()
{
    boost::asio::post(executor_, [self = shared_from_this()] { self->take_turn(); });
}

std::deque<bus_inbox::received_message> bus_inbox::take()
{
    const std::lock_guard lock(mutex_);
    std::deque<received_message> taken = std::exchange(consensus_, {});
    for (std::size_t count = 0; count < messages_per_turn && !others_.empty(); ++count) {
        taken.push_back(std::move(others_.front()));
        others_.pop_front();
    }
    is_turn_posted_ = !others_.empty();
    if (is_turn_posted_) {
        post_turn();
    }
    if (const std::uint64_t dropped = std::exchange(dropped_, 0); dropped > 0) {
        spdlog::warn("bus: dropped {} received messages, the queue is full", dropped);
    }
    return taken;
}

void bus_inbox::handle_one(const received_message& received)
{
    if (received.message.has_consensus()) {
        handle_(received.origin, received.message);
        return;
    }
    try {
        handle_(received.origin, received.message);
    }
    catch (const std::exception& unexpected) {
        spdlog::error("bus: dropped a message of {}, its handler failed: {}",
                      received.message.from(), unexpected.what());
    }
}

void bus_inbox::take_turn()
{
    for (const received_message& each : take()) {
        handle_one(each);
    }
}

} // namespace primrosehead
