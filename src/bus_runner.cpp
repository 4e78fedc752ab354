#include "bus_runner.h"

#include <primrosehead/config.h>

#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration max_poll_duration{
    1'000}; // `send`, `reply` and the destructor wake the bus earlier

} // namespace

bus_runner::bus_runner(std::unique_ptr<bus> messages, boost::asio::any_io_executor executor,
                       handler handle)
    : messages_(std::move(messages)),
      inbox_(bus_inbox::make(std::move(executor), std::move(handle), config::max_bus_inbox)),
      thread_([this] { run(); })
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
