// Received bus messages that wait for the event loop. Thread-safe.
//
// Consensus messages come first: a leader must not lose its quorum because of the requests that it
// receives. Others keep their order; when too many wait, the oldest are dropped.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/bus.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace primrosehead {

class bus_inbox : public std::enable_shared_from_this<bus_inbox> {
  public:
    using handler = std::function<void(const bus_origin& origin, const pb::envelope& message)>;

    // `handle` is called on `executor`. When it throws, the message is dropped with a log line,
    // unless it is a consensus message: the replicated state may then be inconsistent.
    [[nodiscard]] static std::shared_ptr<bus_inbox> make(boost::asio::any_io_executor executor,
                                                         handler handle, std::size_t max_waiting);

    void add(const bus_origin& origin, const pb::envelope& message);

  private:
    struct received_message {
        bus_origin origin;
        pb::envelope message;
    };

    bus_inbox(boost::asio::any_io_executor executor, handler handle, std::size_t max_waiting);
    void post_turn();
    void take_turn();
    [[nodiscard]] std::deque<received_message> take();
    void handle_one(const received_message& received);

    boost::asio::any_io_executor executor_;
    handler handle_;
    std::size_t max_waiting_;
    std::mutex mutex_;
    std::deque<received_message> consensus_;
    std::deque<received_message> others_;
    std::uint64_t dropped_ = 0;
    bool is_turn_posted_ = false;
};

} // namespace primrosehead
