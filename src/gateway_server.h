// A backend server as this instance sees it: its last report, its health, the load from this
// instance and the pool of this instance's connections to it.
#pragma once

#include "gateway_context.h"

#include <primrosehead/directory.h>
#include <primrosehead/health.h>
#include <primrosehead/rcu.h>

#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace primrosehead {

class gateway_pool;

// The newest known report of a server.
struct known_report {
    server_info info;
    log_position received;
    std::uint64_t promised_term = 0; // highest term that the server has promised
    clock::time_point primary_since; // start of its current claim to be primary
    clock::time_point announced_at;  // last announcement to this instance; zero if none
};

class gateway_server : public std::enable_shared_from_this<gateway_server> {
  public:
    gateway_server(std::shared_ptr<gateway_context> context, const pb::server_report& first,
                   clock::time_point now);
    ~gateway_server();
    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;

    [[nodiscard]] const server_name& name() const noexcept { return name_; }
    [[nodiscard]] const database_name& database() const noexcept { return database_; }
    [[nodiscard]] const failure_domain_name& failure_domain() const noexcept { return domain_; }

    // Applies a report unless it is older than the known one. Calls must be serialised.
    void apply_report(const pb::server_report& report, clock::time_point now);

    // Returns the last report with the current health and load. Thread-safe and lock-free.
    [[nodiscard]] known_report report() const;

    // Runs a request over this instance's own connections. Thread-safe.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>> run(pb::backend_request request,
                                                                        clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    begin(pb::backend_request request, std::uint64_t number, clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    run_in_transaction(std::uint64_t number, pb::backend_request request,
                       clock::time_point deadline);

    // Counts a request to the server, run locally or forwarded, as outstanding during its lifetime.
    class outstanding_request {
      public:
        explicit outstanding_request(gateway_server& server) : server_(server)
        {
            ++server_.outstanding_;
        }
        ~outstanding_request() { --server_.outstanding_; }
        outstanding_request(const outstanding_request&) = delete;
        outstanding_request& operator=(const outstanding_request&) = delete;

      private:
        gateway_server& server_;
    };

    // Updates position and health from the outcome of a request. Latency is measured only on reads
    // outside transactions, as writes also wait for replicas.
    void record_outcome(const result<pb::backend_reply>& outcome, clock::duration elapsed,
                        bool is_plain_read);

    [[nodiscard]] clock::duration latency() const noexcept;

    // Checks health against the median latency of the group's other servers, and sweeps the pool.
    void check(clock::duration median_of_others);

  private:
    using strand = boost::asio::strand<boost::asio::any_io_executor>;

    [[nodiscard]] static known_report parse_report(const pb::server_report& report,
                                                   clock::time_point now);
    void record_position(const pb::position& position) noexcept;
    void publish_health(server_health before);

    std::shared_ptr<gateway_context> context_;
    const server_name name_;
    const database_name database_;
    const failure_domain_name domain_;
    strand strand_;
    rcu_cell<known_report> report_;
    health_monitor watch_;               // on the strand
    std::unique_ptr<gateway_pool> pool_; // on the strand
    std::atomic<std::uint32_t> outstanding_ = 0;
    std::atomic<std::int64_t> latency_ms_ = 0;
    std::atomic<server_health> health_ = server_health::up;
    std::atomic<std::uint64_t> seen_term_ = 0; // from replies
    std::atomic<std::uint64_t> seen_index_ = 0;
};

} // namespace primrosehead
