// A backend server, with one instance's connections to it and measurements of it.
#pragma once

#include "pooler_connection.h"
#include "server_pace.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primrosehead::pooler {

struct queued_statement;

struct pooled_server {
    // From the server's announcement.
    std::string id;
    std::string group;
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool is_local = false;
    std::optional<clock::time_point> leaving_since; // the earliest known; none: not leaving
    clock::time_point leaving_use_logged_at{};
    bool claims_primary = false;
    std::uint64_t born_ms = 0;
    bool is_removed = false;    // no longer listed, or restarted
    std::uint64_t sequence = 0; // of the announcement
    clock::time_point known_since{};
    clock::time_point announced_at{};
    clock::time_point cold_until{}; // as announced
    bool is_cold = false;           // when it was last considered

    // Connections of this instance.
    std::vector<std::unique_ptr<pooled_connection>> idle;
    std::uint32_t open = 0;         // idle, in use or being opened
    clock::time_point home_until{}; // this instance is regarded as the server's home until then
    std::uint32_t running = 0;      // statements in progress
    std::list<queued_statement*> queued_statements; // of open transactions

    // Measurements and failures.
    clock::time_point served_at{};          // when it last answered without an error
    double latency_ms = 20;                 // average of recent statements
    clock::time_point latency_updated_at{}; // when `latency_ms` was updated
    double unloaded_latency_ms = 20;        // latency without queueing
    std::uint32_t failures = 0;             // consecutive
    clock::time_point avoided_until{};      // set by failures
    std::uint32_t saturated_limit = 0;      // limit of `open` after the server refused a connection
    clock::time_point saturated_until{};
    std::uint32_t refused_opens = 0;   // in a row, at most one for each retry
    clock::time_point open_retry_at{}; // after the server refused a connection
    clock::time_point opened_at{};     // when the last connection was requested
    std::uint32_t lag_count = 0;       // consecutive reads that it refused for its lag
    clock::time_point lagging_until{};

    std::optional<admission::server_pace> pace; // learned concurrency, if it is enabled

    // Records the end of an exchange of `queries` queries that began at `started_at`.
    void record_exchange(std::uint32_t queries, admission::outcome result,
                         clock::time_point started_at, clock::time_point now);
    void record_latency(double milliseconds, clock::time_point now);
    void record_success();
    void record_failure(clock::time_point now, bool refused);
    // The server refused a connection because it has too many.
    void record_saturation(clock::time_point now);
    void record_opened() noexcept;
    void record_lag(clock::time_point now);

    [[nodiscard]] bool is_leaving() const { return leaving_since.has_value(); }

    // Returns the average latency, which decays to the default as the last measurement ages.
    [[nodiscard]] double expected_latency_ms(clock::time_point now) const;
    // True when statements spend most of their time in the server's queue.
    [[nodiscard]] bool is_queueing(clock::time_point now) const;

    // A new connection occupies a slot for as long as a statement. While the server is overloaded,
    // one is opened at intervals, which is enough for every organisation to be served. One at a
    // time is opened to a server that failed, and at growing intervals to one that refused one.
    [[nodiscard]] bool may_open(clock::time_point now) const;

    // Returns how many statements this instance runs there concurrently: fewer while they queue at
    // the server, whose queue ignores priorities.
    [[nodiscard]] std::uint32_t running_limit(clock::time_point now) const;
    [[nodiscard]] bool is_avoided(clock::time_point now) const { return now < avoided_until; }
    [[nodiscard]] bool is_lagging(clock::time_point now) const { return now < lagging_until; }
};

} // namespace primrosehead::pooler
