#include "bus_runner.h"

#include "primrosehead.pb.h"

#include <primrosehead/config.h>

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <deque>
#include <mutex>
#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration max_poll_duration{
    1'000}; // `send`, `reply` and the destructor wake the bus earlier
// Other messages handled between two looks for consensus messages and timers.
constexpr std::size_t messages_per_turn = 16;

struct received_message {
    bus_origin origin;
    pb::envelope message;
};

} // namespace

// Messages that wait for the executor. Outlives the runner while a turn is posted.
struct bus_runner::inbox : std::enable_shared_from_this<bus_runner::inbox> {
    inbox(boost::asio::any_io_executor target, handler handle_message)
        : executor(std::move(target)), handle(std::move(handle_message))
    {
    }

    void add(const bus_origin& origin, const pb::envelope& message);
    void take_turn();
    [[nodiscard]] std::deque<received_message> take(std::size_t max_others);

    boost::asio::any_io_executor executor;
    handler handle;
    std::mutex mutex;
    std::deque<received_message> consensus;
    std::deque<received_message> others;
    std::uint64_t dropped = 0;
    bool is_turn_posted = false;
};

void bus_runner::inbox::add(const bus_origin& origin, const pb::envelope& message)
{
    const std::lock_guard lock(mutex);
    (message.has_consensus() ? consensus : others).push_back({origin, message});
    if (others.size() > config::max_bus_inbox) {
        others.pop_front();
        ++dropped;
    }
    if (!std::exchange(is_turn_posted, true)) {
        boost::asio::post(executor, [self = shared_from_this()] { self->take_turn(); });
    }
}

std::deque<received_message> bus_runner::inbox::take(std::size_t max_others)
{
    const std::lock_guard lock(mutex);
    std::deque<received_message> taken = std::exchange(consensus, {});
    for (std::size_t count = 0; count < max_others && !others.empty(); ++count) {
        taken.push_back(std::move(others.front()));
        others.pop_front();
    }
    is_turn_posted = !others.empty();
    if (is_turn_posted) {
        boost::asio::post(executor, [self = shared_from_this()] { self->take_turn(); });
    }
    if (dropped > 0) {
        spdlog::warn("bus: dropped {} received messages, the queue is full", dropped);
        dropped = 0;
    }
    return taken;
}

void bus_runner::inbox::take_turn()
{
    for (const received_message& each : take(messages_per_turn)) {
        handle(each.origin, each.message);
    }
}

bus_runner::bus_runner(std::unique_ptr<bus> messages, boost::asio::any_io_executor executor,
                       handler handle)
    : messages_(std::move(messages)), executor_(std::move(executor)),
      inbox_(std::make_shared<inbox>(executor_, std::move(handle))), thread_([this] { run(); })
{
}

bus_runner::~bus_runner()
{
    stopped_.store(true);
    messages_->wake();
    thread_.join();
}

void bus_runner::run()
{
    while (!stopped_.load()) {
        messages_->poll(max_poll_duration,
                        [this](const bus_origin& origin, const pb::envelope& message) {
                            inbox_->add(origin, message);
                        });
    }
}

} // namespace primrosehead
