// The connections of one instance to all backend servers, and who gets them next. One thread.
#pragma once

#include "line_dialect.h"
#include "pooler_connection.h"
#include "pooler_freshness.h"
#include "pooler_primary.h"
#include "pooler_server.h"

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

// Which servers an operation may run at.
enum class required_role { primary, any };

// An operation that needs a connection. It lives until `acquire` returned.
struct connection_request {
    std::string group;
    std::string organisation;
    required_role role = required_role::any;
    std::uint32_t priority = 0;
    const session_values* values = nullptr;
    std::vector<std::string> excluded_servers; // servers that were tried
    clock::time_point deadline;                // for the connection, not for the statement
};

enum class acquire_error {
    none,
    no_server,  // none is known, or all that are known fail
    no_primary, // nobody leads, as far as known
    saturated,  // every connection was in use until the deadline
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
};

// A group as this instance sees it, for the log.
struct group_status {
    std::string primary; // empty: none is known
    clock::duration primary_failure_time{0};
    std::size_t waiting = 0;                     // operations
    std::size_t avoided_servers = 0;             // servers, after failures
    std::optional<clock::duration> position_age; // of the newest position of the primary
};

class pool {
  public:
    pool(boost::asio::any_io_executor executor, const line_dialect& dialect, event_log& events,
         std::string failure_domain);
    ~pool();
    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;

    // Takes over what the control leader tells. With `is_complete`, servers that are not listed are
    // gone.
    void set_servers(std::span<const pb::server_announcement> servers, bool is_complete,
                     clock::time_point now);

    // A group's connections a server over all instances, and how many instances share them.
    void set_limits(std::string_view group, std::uint32_t connection_limit,
                    std::uint32_t instances);

    [[nodiscard]] boost::asio::awaitable<acquire_result> acquire(connection_request& request);

    // Gives a connection back. One whose state is unknown is closed: `is_clean` false.
    void release(std::unique_ptr<pooled_connection> connection, bool is_clean);

    // Counts a statement as running at the connection's server, for placement.
    void record_start(pooled_server& server) { ++server.running; }

    // The same for a statement of an open transaction, which goes before operations that have not
    // begun. False: it could not run before the deadline.
    [[nodiscard]] boost::asio::awaitable<bool>
    start_when_admitted(std::shared_ptr<pooled_server> server, clock::time_point deadline);
    void record_finish(pooled_server& server, double milliseconds, clock::time_point now);

    // The server seems unreachable: connections that idle there are not trusted any more.
    void mark_unreachable(pooled_server& server, bool refused, clock::time_point now);

    // Operations wait for a connection of the group.
    [[nodiscard]] bool has_waiting_requests(std::string_view group);

    [[nodiscard]] primary_tracker& primary_of(std::string_view group);
    [[nodiscard]] freshness_tracker& freshness_of(std::string_view group);
    [[nodiscard]] std::vector<std::string> groups() const;

    // An idle connection to the server that is taken for the primary; null when there is none.
    [[nodiscard]] std::unique_ptr<pooled_connection> take_idle_at_primary(std::string_view group,
                                                                          clock::time_point now);

    // Closes what is idle for long or beyond the fair part.
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
        std::list<queued_request*> queue;
    };
    struct choice {
        std::shared_ptr<pooled_server> server;
        std::unique_ptr<pooled_connection> connection; // null: to be opened
    };

    group_state& state_of(std::string_view name);
    [[nodiscard]] std::uint32_t open_limit(const group_state& state, const pooled_server& server,
                                           clock::time_point now) const;
    [[nodiscard]] std::vector<std::shared_ptr<pooled_server>>
    candidates(const group_state& state, const connection_request& request, clock::time_point now,
               acquire_error& error) const;
    [[nodiscard]] std::optional<choice> choose(group_state& state,
                                               const connection_request& request,
                                               clock::time_point now, acquire_error& error);
    [[nodiscard]] std::unique_ptr<pooled_connection> take_idle(pooled_server& server,
                                                               const connection_request& request);
    static void close_oldest_foreign(pooled_server& server, std::string_view organisation);
    boost::asio::awaitable<std::unique_ptr<pooled_connection>>
    open(std::shared_ptr<pooled_server> server, const connection_request& request,
         clock::time_point deadline);
    boost::asio::awaitable<void> wait(group_state& state, queued_request& queued);
    void enqueue(group_state& state, queued_request& queued);
    void dispatch(group_state& state);
    void close_idle(pooled_server& server);
    void update_primary_candidates(group_state& state);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    event_log& events_;
    std::string failure_domain_;
    std::map<std::string, group_state, std::less<>> groups_;
    pool_stats stats_;
};

} // namespace primrosehead::pooler
