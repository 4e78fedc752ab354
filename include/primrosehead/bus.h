// Messaging between the processes of a fleet: protobuf envelopes over ZeroMQ sockets.
//
// Each process binds one ROUTER socket and opens one DEALER socket per peer. A reply is sent over
// the connection on which the request arrived.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class envelope;
}

namespace primrosehead {

// The connection on which a message arrived. Valid as long as that connection is open.
struct bus_origin {
    std::string route;    // ROUTER identity of the peer; empty for a message from a DEALER
    std::string endpoint; // endpoint of the DEALER; empty for a message from the ROUTER
};

class bus {
  public:
    using handler = std::function<void(const bus_origin& origin, const pb::envelope& message)>;

    // Binds `endpoint`, or nothing when it is empty, as in command line tools. With `key`, peers
    // must hold the same key pair. Returns `error_kind::bad_settings` when the endpoint or the key
    // can't be used.
    [[nodiscard]] static result<std::unique_ptr<bus>>
    open(std::string_view endpoint, const std::optional<bus_key_settings>& key);
    ~bus();
    bus(const bus&) = delete;
    bus& operator=(const bus&) = delete;

    // Queues a message; `send` connects on first use. Thread-safe; never blocks. A message is
    // dropped when config::max_bus_queue messages are queued.
    void send(std::string_view endpoint, const pb::envelope& message);
    void reply(const bus_origin& origin, const pb::envelope& message);

    // Closes the connection to a peer that has left. Thread-safe.
    void disconnect(std::string_view endpoint);

    // Interrupts a waiting `poll`. Thread-safe.
    void wake();

    // Sends queued messages, waits for messages or until `timeout` has passed, and passes each
    // received message to `handle`. Not thread-safe: only one thread may call it.
    void poll(clock::duration timeout, const handler& handle);

  private:
    struct implementation;
    explicit bus(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace primrosehead
