// Work on backend servers: the connections that this instance owns, and the way to the owner of
// each other server.
//
// An instance owns a server when it is first in `ranked_owners` over the live instances of the
// server's failure domain (over all live instances when that domain has none). The owner holds the
// server's connections, runs a fair queue in front of its slots and keeps transactions pinned to
// their connection. Everyone else forwards over the bus. An owner opens at most half of a server's
// connections, so that an old and a new owner stay within the limit while the ownership changes.
// Safe to call from any thread.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>
#include <primrosehead/directory.h>
#include <primrosehead/error.h>
#include <primrosehead/health.h>
#include <primrosehead/names.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace primrosehead {

struct gateway_settings {
    cell_name cell;
    instance_name instance;
    failure_domain_name failure_domain;
    clock::duration transaction_idle_timeout{5'000};  // without a statement: rolled back
    clock::duration max_transaction_duration{60'000}; // open for so long: rolled back
    clock::duration connection_idle_timeout{3'000};   // an unused connection is closed
    health_settings health;
    bool verify_reply_ids = true; // off in tests: answers of another request are believed
};

// What the gateway has done, for /metrics and tests.
struct gateway_stats {
    std::uint64_t executed_locally = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t received = 0; // handed over by other instances
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_open = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
};

class gateway {
  public:
    // `messages` must live until the executor has ended all work of the gateway, and the executor's
    // context until the gateway is destroyed.
    [[nodiscard]] static std::shared_ptr<gateway> create(boost::asio::any_io_executor executor,
                                                         gateway_settings settings, bus& messages);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Runs a request on `request.server`, here or at the owner. A transaction's later requests
    // carry the handle that BACKEND_BEGIN answered and reach the same connection; their `server`
    // may be empty. The error's `ran` is true to what happened.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>> run(pb::backend_request request,
                                                                        clock::time_point deadline);

    // A `backend` or `backend_answer` message from the bus.
    void receive(const bus_origin& origin, const pb::envelope& message);

    // A server's report, from its own announcement or from the control leader. Older ones and those
    // of an older term change nothing.
    void apply_report(const pb::server_report& report, clock::time_point now);

    // Drops servers that nobody has reported for `limit`.
    void remove_stale_servers(clock::duration limit, clock::time_point now);

    // The live entry instances, this one among them.
    void set_instances(std::span<const instance_address> live);

    // The servers of a database with their present health and load.
    [[nodiscard]] std::vector<server_info> group(const database_name& database) const;

    // Own reports, for the heartbeat: servers that announced themselves here since `since`.
    [[nodiscard]] std::vector<pb::server_report> recent_announcements(clock::time_point since,
                                                                      clock::time_point now) const;

    [[nodiscard]] gateway_stats stats() const;

    // Begins no transaction any more. `is_idle` once nothing runs and no transaction is open.
    void drain();
    [[nodiscard]] bool is_idle() const;

  private:
    struct implementation;
    explicit gateway(std::shared_ptr<implementation> body);
    std::shared_ptr<implementation> body_;
};

} // namespace primrosehead
