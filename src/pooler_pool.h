// Connection pool of one instance for all backend servers, with a queue of the operations that wait
// for a connection. Single-threaded.
#pragma once

#include "cell_directory_departures.h"
#include "document_regions.h"
#include "line_dialect.h"
#include "pooler_connection.h"
#include "pooler_evacuations.h"
#include "pooler_freshness.h"
#include "pooler_primary.h"
#include "pooler_server.h"
#include "pooler_warm_up.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class server_announcement;
}

namespace primrosehead {
class event_log;
}

namespace primrosehead::pooler {

struct placement_server;

// Role of the servers that may run an operation.
enum class required_role { primary, any };

// Request for a connection. Must stay alive until `acquire` returns.
struct connection_request {
    std::string group;
    std::string organisation;
    required_role role = required_role::any;
    std::uint32_t priority = 0;
    const session_values* values = nullptr;
    region_set regions;                        // of servers that may run the operation
    std::vector<std::string> excluded_servers; // already tried
    std::string pinned_server; // at a home: the only server that may run it; empty: any
    warm_up_share share = warm_up_share::instance;
    clock::time_point deadline; // for obtaining the connection, not for the statement
    // Replaces `deadline` while no server that could run the operation serves this instance.
    clock::time_point outage_deadline{};
};

enum class acquire_error {
    none,
    no_server,       // no known server is available
    no_primary,      // no reachable primary is known
    saturated,       // no connection or slot became free before the deadline
    outside_regions, // no server, or not the primary, is inside the allowed regions
};

struct acquire_result {
    std::unique_ptr<pooled_connection> connection;
    acquire_error error = acquire_error::none;
};

struct pool_stats {
    std::uint64_t opened = 0;
    std::uint64_t open_failures = 0;
    std::uint64_t reused = 0;
    std::uint64_t replaced = 0;
    std::uint64_t waited = 0;
    std::uint64_t saturated = 0;
    std::uint32_t open = 0;
    std::uint32_t waiting = 0;
    std::uint32_t evacuated_domains = 0;
};

// State of a server group as this instance sees it, for the log.
struct group_status {
    std::string primary; // empty if unknown
    clock::duration primary_failure_time{0};
    std::size_t waiting = 0;                     // queued requests
    std::size_t avoided_servers = 0;             // after failures
    std::optional<clock::duration> position_age; // of the newest log position from the primary
};

class pool {
  public:
    pool(boost::asio::any_io_executor executor, const line_dialect& dialect, event_log& events,
         std::string failure_domain);
    ~pool();
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;

    // Applies server announcements of the control leader. If `is_complete`, servers that are not
    // listed are removed. Invalid announcements are ignored.
    void set_servers(std::span<const pb::server_announcement> servers, bool is_complete,
                     clock::time_point now);

    void set_evacuation_bound(clock::duration bound) noexcept { evacuations_.set_bound(bound); }

    // Excludes the servers of the evacuated failure domains, as of `version` of the replicated
    // state, and closes the idle connections to them.
    void set_evacuations(std::span<const std::string> domains, std::uint64_t version,
                         clock::time_point now);

    [[nodiscard]] const evacuations& evacuated() const noexcept { return evacuations_; }
    [[nodiscard]] bool is_evacuated(const pooled_server& server) const
    {
        return evacuations_.contains(server.failure_domain);
    }

    // True once transactions that are open at the server must be rolled back.
    [[nodiscard]] bool must_end_transactions(const pooled_server& server,
                                             clock::time_point now) const
    {
        return evacuations_.must_end_transactions(server.failure_domain, now);
    }

    // Nothing new reaches a server that has been leaving for `period`.
    void set_leaving_period(clock::duration period) noexcept { leaving_period_ = period; }

    // False if no operation may begin at the server: its failure domain is evacuated, it is not
    // listed any more, or it has been leaving for its whole period. To be asked after every wait
    // before the operation's first statement goes out.
    [[nodiscard]] bool may_begin_at(const pooled_server& server, clock::time_point now) const;

    // Makes servers that are announced from now on learn their concurrency. Off by default.
    void learn_concurrency(bool is_enabled) { learns_concurrency_ = is_enabled; }

    // Sets a group's connection limit per server and the number of instances that share it.
    void set_limits(std::string_view group, std::uint32_t connection_limit,
                    std::uint32_t instances);

    // Sets the region of each failure domain.
    void set_regions(std::map<std::string, std::string, std::less<>> regions);
    [[nodiscard]] std::string_view region_of(std::string_view failure_domain) const;

    // Sets the rate of requests to a cold server of the group, over all instances (0: no limit),
    // and the time for which a server counts as cold that has not announced itself after an
    // evacuation.
    void set_warm_up(std::string_view group, double per_s, clock::duration time);
    [[nodiscard]] warm_up& warm_ups() noexcept { return warm_up_; }

    // Starts requests that wait for time to pass: for a cold server, a failing one or one that
    // refused a connection. To be called about every 25 ms.
    void retry_waiting();

    [[nodiscard]] boost::asio::awaitable<acquire_result> acquire(connection_request& request);

    // Chooses the server of an operation that its home runs; null if none is available.
    [[nodiscard]] std::shared_ptr<pooled_server>
    choose_server(const connection_request& request, clock::time_point now, acquire_error& error);
    [[nodiscard]] std::shared_ptr<pooled_server> find_server(std::string_view group,
                                                             std::string_view id) const;

    // Returns a connection to the pool. Closes it if its state is unknown (`is_clean` is false).
    void release(std::unique_ptr<pooled_connection> connection, bool is_clean);

    // Logs that a statement goes to the server if it is leaving, at most once a second.
    void log_use(pooled_server& server, clock::time_point now);

    // Counts a statement as running at the server, for placement.
    void record_start(pooled_server& server) { ++server.running; }

    // Waits until the server may run another statement of an open transaction, and counts it as
    // running. These statements take precedence over operations that have not begun. Returns false
    // if the deadline passes first, or if open transactions at the server must be rolled back.
    // `is_commit`: does not wait for a cold server.
    [[nodiscard]] boost::asio::awaitable<bool> start_when_admitted(pooled_connection& connection,
                                                                   clock::time_point deadline,
                                                                   bool is_commit = false);

    // Waits until a cold server may get another request; at once if the server is warm. Returns
    // false if the deadline passes first.
    [[nodiscard]] boost::asio::awaitable<bool>
    wait_if_cold(pooled_connection& connection, clock::time_point deadline, bool is_commit);
    void record_finish(pooled_server& server, double latency_ms, clock::time_point now);

    // A statement that was counted as running is not sent.
    void cancel_start(pooled_server& server);

    // An exchange begun at `sent_at` has no complete answer. One missing answer shows that the
    // server is unreachable only if it gave no other one meanwhile. A broken connection shows
    // nothing of the kind: the next one is refused if the server is down.
    void record_unanswered(pooled_server& server, bool has_timed_out, clock::time_point sent_at,
                           clock::time_point now);

    // Records a server as unreachable and closes its idle connections.
    void mark_unreachable(pooled_server& server, bool was_refused, clock::time_point now);

    // True while requests are queued for a connection to the group.
    [[nodiscard]] bool has_waiting_requests(std::string_view group);

    [[nodiscard]] primary_tracker& primary_of(std::string_view group);
    [[nodiscard]] freshness_tracker& freshness_of(std::string_view group);
    [[nodiscard]] std::vector<std::string> groups() const;

    // Returns the servers of the group that were announced at `since` or before.
    [[nodiscard]] std::vector<std::string> servers_known_since(std::string_view group,
                                                               clock::time_point since) const;

    // Takes an idle connection to the server; null if there is none.
    [[nodiscard]] std::unique_ptr<pooled_connection> take_idle_at(std::string_view group,
                                                                  std::string_view server);

    // Takes an idle connection to the presumed primary; null if there is none.
    [[nodiscard]] std::unique_ptr<pooled_connection> take_idle_at_primary(std::string_view group,
                                                                          clock::time_point now);

    // Closes idle connections that have timed out, exceed this instance's fair share or belong to a
    // server that is leaving.
    void evict_idle(clock::time_point now);

    [[nodiscard]] pool_stats stats() const;
    [[nodiscard]] group_status status_of(std::string_view group, clock::time_point now);

  private:
    struct queued_request;
    struct group_state {
        std::map<std::string, std::shared_ptr<pooled_server>, std::less<>> servers;
        primary_tracker primary;
        freshness_tracker positions;
        std::uint32_t connection_limit = 0;
        std::uint32_t instances = 1;
        double warm_up_per_s = 0;
        clock::duration warm_up_time{0};
        std::list<queued_request*> queue;
        bool is_requested = false; // operations may hold references

        // True if only announcements of servers that are gone named the group.
        [[nodiscard]] bool is_unused() const
        {
            return !is_requested && servers.empty() && queue.empty() && connection_limit == 0;
        }
    };
    struct choice {
        std::shared_ptr<pooled_server> server;
        std::unique_ptr<pooled_connection> connection; // null: must be opened
        bool is_cold = false;
    };

    group_state& state_of(std::string_view name);
    [[nodiscard]] std::vector<std::shared_ptr<pooled_server>>
    candidates(group_state& state, const connection_request& request, warm_up_share share,
               clock::time_point now, acquire_error& error);
    [[nodiscard]] bool can_reach_primary(const group_state& state, clock::time_point now) const;
    [[nodiscard]] bool is_cold(const group_state& state, pooled_server& server,
                               clock::time_point now);
    [[nodiscard]] bool may_start(group_state& state, pooled_server& server, warm_up_share share,
                                 clock::time_point now);
    [[nodiscard]] boost::asio::awaitable<bool> start_at_cold(std::shared_ptr<pooled_server> server,
                                                             warm_up_share share,
                                                             clock::time_point deadline);
    [[nodiscard]] std::optional<choice> choose(group_state& state,
                                               const connection_request& request,
                                               clock::time_point now, acquire_error& error);
    [[nodiscard]] placement_server describe(const group_state& state, const pooled_server& server,
                                            const connection_request& request,
                                            clock::time_point now) const;
    [[nodiscard]] std::vector<placement_server>
    describe_all(const group_state& state, std::span<const std::shared_ptr<pooled_server>> servers,
                 const connection_request& request, clock::time_point now) const;
    [[nodiscard]] std::unique_ptr<pooled_connection> take_idle(pooled_server& server,
                                                               const connection_request& request);
    static void close_oldest_foreign(pooled_server& server, std::string_view organisation);
    boost::asio::awaitable<std::unique_ptr<pooled_connection>>
    open(std::shared_ptr<pooled_server> server, const connection_request& request,
         clock::time_point deadline);
    boost::asio::awaitable<void> wait(group_state& state, queued_request& queued);
    // True while no server that could run the operation has served this instance recently.
    [[nodiscard]] bool is_stalled(const group_state& state, const connection_request& request,
                                  clock::time_point now) const;
    void enqueue(group_state& state, queued_request& queued);
    void dispatch(group_state& state);
    void close_idle(pooled_server& server);
    void update_primary_candidates(group_state& state);
    void update_server(const pb::server_announcement& announcement, clock::time_point now);
    // True if more recent knowledge of the server holds. A new leader may not have it.
    [[nodiscard]] bool is_outdated(const pb::server_announcement& announcement) const;
    void update_departure(pooled_server& server, const pb::server_announcement& announcement,
                          clock::time_point now);
    void log_ignored(std::map<std::string, std::string, std::less<>> ignored);
    static void admit_queued_statements(pooled_server& server, clock::time_point now);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    event_log& events_;
    std::string failure_domain_;
    std::map<std::string, std::string, std::less<>> regions_; // by failure domain
    warm_up warm_up_;
    std::map<std::string, group_state, std::less<>> groups_;
    std::map<std::string, std::string, std::less<>> ignored_; // errors of ignored announcements
    evacuations evacuations_;
    cell::directory_departures departures_;
    clock::duration leaving_period_{7'000};
    pool_stats stats_;
    bool learns_concurrency_ = false;
};

} // namespace primrosehead::pooler
