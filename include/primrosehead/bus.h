// Messages between the system's own processes: ZeroMQ sockets that carry protobuf envelopes.
//
// Each process binds one ROUTER socket and opens one DEALER socket a peer. An answer goes back over
// the connection that the question came by.
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

// Where a message came from; keeps its meaning while the connection lives.
struct bus_origin {
    std::string route;    // ROUTER identity; empty when the message came back over a DEALER
    std::string endpoint; // DEALER's endpoint; empty when it came over the ROUTER
};

class bus {
  public:
    using handler = std::function<void(const bus_origin& origin, const pb::envelope& message)>;

    // Binds `endpoint`; an empty one binds nothing (command line tools).
    [[nodiscard]] static result<std::unique_ptr<bus>>
    open(std::string_view endpoint, const std::optional<bus_key_settings>& key);
    ~bus();
    bus(const bus&) = delete;
    bus& operator=(const bus&) = delete;

    // Queues a message; connects on first use. Never blocks. Any thread.
    // A message is dropped when config::max_bus_queue are waiting for that peer.
    void send(std::string_view endpoint, const pb::envelope& message);
    void reply(const bus_origin& origin, const pb::envelope& message);

    // Closes the connection to a peer that is gone. Any thread.
    void disconnect(std::string_view endpoint);

    // Ends a `poll` that waits. Any thread.
    void wake();

    // Waits until a message is here or `timeout` passed, sends what is queued, and hands every
    // received message to `handle`. One thread only.
    void poll(clock::duration timeout, const handler& handle);

  private:
    struct implementation;
    explicit bus(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
