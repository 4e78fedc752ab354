// Polls a bus on a dedicated thread and passes received messages to an executor.
#pragma once

#include "bus_inbox.h"

#include <primrosehead/bus.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace primrosehead {

class bus_runner {
  public:
    using handler = bus_inbox::handler;

    // `handle` is called on `executor`, in the order of bus_inbox.h.
    bus_runner(std::unique_ptr<bus> messages, boost::asio::any_io_executor executor,
               handler handle);
    ~bus_runner();
    bus_runner(const bus_runner&) = delete;
    bus_runner& operator=(const bus_runner&) = delete;

    [[nodiscard]] bus& messages() noexcept { return *messages_; }

  private:
    void run();

    std::unique_ptr<bus> messages_;
    std::shared_ptr<bus_inbox> inbox_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace primrosehead
