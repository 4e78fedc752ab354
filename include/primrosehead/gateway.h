// Runs requests on backend servers: over this instance's own connections, or by forwarding them to
// the instance that owns the server.
//
// An instance owns a server when it ranks first in `ranked_owners` over the live instances of the
// server's failure domain, or over all live instances when that domain has none. The owner keeps
// the connection pool of the server, admits requests to its slots through a fair queue and pins
// each transaction to its connection. Other instances forward requests to the owner over the bus.
// An owner opens at most half of the connections that a server allows, so that the old and the new
// owner together stay within the limit while ownership changes. Thread-safe.
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
    clock::duration transaction_idle_timeout{5'000};  // without a statement, then rolled back
    clock::duration max_transaction_duration{60'000}; // then rolled back
    clock::duration connection_idle_timeout{3'000};   // unused for so long, then closed
    health_settings health;
    bool verify_reply_ids = true; // tests turn it off to accept mismatched replies
};

// Counters of the gateway, for /metrics and tests.
struct gateway_stats {
    std::uint64_t executed_locally = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t received = 0; // forwarded by other instances
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_open = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
};

class gateway {
  public:
    // `messages` must outlive all work of the gateway on the executor, and the executor's context
    // must outlive the gateway.
    [[nodiscard]] static std::shared_ptr<gateway> create(boost::asio::any_io_executor executor,
                                                         gateway_settings settings, bus& messages);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    // Runs a request on `request.server`, locally or on the owner. Later requests of a transaction
    // carry the handle that BACKEND_BEGIN returned and run on the same connection; their `server`
    // may be empty. `ran` of an error is `no` only when the request certainly had no effect.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>> run(pb::backend_request request,
                                                                        clock::time_point deadline);

    // Handles a `backend` or `backend_answer` message from the bus.
    void receive(const bus_origin& origin, const pb::envelope& message);

    // Applies a server's report, from its own announcement or from the control leader. A report
    // that is not newer than the known one is ignored.
    void apply_report(const pb::server_report& report, clock::time_point now);

    // Removes servers whose last report is older than `limit`.
    void remove_stale_servers(clock::duration limit, clock::time_point now);

    // Replaces the set of live entry instances, which includes this one.
    void set_instances(std::span<const instance_address> live);

    // Returns the servers of a database with their current health and load.
    [[nodiscard]] std::vector<server_info> group(const database_name& database) const;

    // Returns reports of the servers that announced themselves to this instance since `since`, for
    // the heartbeat.
    [[nodiscard]] std::vector<pb::server_report> recent_announcements(clock::time_point since,
                                                                      clock::time_point now) const;

    [[nodiscard]] gateway_stats stats() const;

    // Rejects new transactions from now on. `is_idle` is true once no request runs and no
    // transaction is open.
    void drain();
    [[nodiscard]] bool is_idle() const;

  private:
    struct implementation;
    explicit gateway(std::shared_ptr<implementation> body);
    std::shared_ptr<implementation> body_;
};

} // namespace primrosehead
