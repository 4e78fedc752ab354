// Polls a bus on a dedicated thread and passes received messages to an executor.
#pragma once

#include <primrosehead/bus.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace primrosehead {

class bus_runner {
  public:
    using handler = std::function<void(const bus_origin& origin, const pb::envelope& message)>;

    // `handle` is called on `executor`, in the order in which messages arrived, except that
    // consensus messages come first: a leader must not lose its quorum because of the requests that
    // it receives. When config::max_bus_inbox other messages wait, the oldest are dropped.
    bus_runner(std::unique_ptr<bus> messages, boost::asio::any_io_executor executor,
               handler handle);
    ~bus_runner();
    bus_runner(const bus_runner&) = delete;
    bus_runner& operator=(const bus_runner&) = delete;

    [[nodiscard]] bus& messages() noexcept { return *messages_; }

  private:
    struct inbox;
    void run();

    std::unique_ptr<bus> messages_;
    boost::asio::any_io_executor executor_;
    std::shared_ptr<inbox> inbox_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace primrosehead
