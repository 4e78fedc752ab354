// A backend server as one instance uses it.
#pragma once

#include "pooler_connection.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead::pooler {

struct queued_statement;

struct pooled_server {
    // As announced.
    std::string id;
    std::string group;
    std::string address;
    std::uint32_t slots = 1;
    bool is_local = false;
    bool is_leaving = false;
    bool claims_primary = false;
    std::uint64_t born_ms = 0;
    bool is_removed = false;

    // Connections of this instance.
    std::vector<std::unique_ptr<pooled_connection>> idle;
    std::uint32_t open = 0;    // idle, in use and being opened
    std::uint32_t running = 0; // statements
    std::list<queued_statement*>
        queued_statements; // statements of open transactions that wait to run

    // What was seen of it.
    double latency_ms = 20;                 // of recent statements
    clock::time_point latency_updated_at{}; // when it was updated
    double unloaded_latency_ms = 20;        // latency when nothing queues
    std::uint32_t failures = 0;             // in a row
    clock::time_point avoided_until{};      // after failures
    std::uint32_t saturated_limit = 0;      // the server refused more connections than these
    clock::time_point saturated_until{};
    clock::time_point opened_at{}; // the last connection
    std::uint32_t lag_count = 0;   // reads in a row that it was too far behind for
    clock::time_point lagging_until{};

    void record_latency(double milliseconds, clock::time_point now);
    void record_success();
    void record_failure(clock::time_point now, bool refused);
    void record_saturation(clock::time_point now);
    void record_lag(clock::time_point now);

    // The latency to expect now: what was measured long ago counts less.
    [[nodiscard]] double expected_latency_ms(clock::time_point now) const;
    // Statements spend most of their time in the server's queue.
    [[nodiscard]] bool is_queueing(clock::time_point now) const;

    // A new connection takes a slot for as long as a statement: while statements queue, one now and
    // then is enough for every organisation to get its turn.
    [[nodiscard]] bool may_open(clock::time_point now) const;

    // How many statements this instance runs there at once: fewer while they queue at the server,
    // where nobody orders them by priority.
    [[nodiscard]] std::uint32_t running_limit(clock::time_point now) const;
    [[nodiscard]] bool is_avoided(clock::time_point now) const { return now < avoided_until; }
    [[nodiscard]] bool is_lagging(clock::time_point now) const { return now < lagging_until; }
};

} // namespace primrosehead::pooler
