// Format of the history that primrose-load writes and primrose-check reads: operations and their
// HTTP requests, as JSON lines.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::history {

// One operation of a session. Times are in microseconds of the load tool's monotonic clock.
struct operation {
    std::uint64_t id = 0;
    std::string session;
    std::string organisation;
    std::string database;
    std::string kind; // write, read, stale_read, scan, transaction, rollback, add, wrong_key, ...
    std::vector<std::string> keys;
    std::string value; // unique to the operation; empty for reads
    std::int64_t called_us = 0;
    std::int64_t done_us = 0; // 0 if the run ended before the answer
    std::int64_t max_age_ms = 0;
    bool with_token = false;
    std::string outcome; // ok, no (certainly not executed) or unknown
    std::string error;   // error kind of the last refusal
    unsigned status = 0;
    std::vector<std::string> seen; // value read for each key; "null" for a key without a value
    log_position position;
    std::string served_by;
    std::string role;
    std::string request_id;
};

// One HTTP request, as far as the rate limits are concerned.
struct request_event {
    std::uint64_t operation = 0;
    std::string organisation;
    std::string database;
    bool counted = false; // consumes the organisation's rate
    bool read = false;
    std::int64_t called_us = 0;
    std::int64_t done_us = 0;
    unsigned status = 0;
    std::string error;
    std::string role;
    std::int64_t retry_after_ms = 0;
};

// Rate limit of an organisation.
struct contract {
    std::string organisation;
    double rate = 0;  // requests per second
    double burst = 0; // requests
};

struct recorded_history {
    std::vector<operation> operations;
    std::vector<request_event> requests;
    std::vector<contract> contracts;
    std::vector<std::string> keys; // callers' keys, which must not occur in execution records
};

// Formats one line of a history, without the line break.
[[nodiscard]] std::string call_line(const operation& from);
[[nodiscard]] std::string done_line(const operation& from);
[[nodiscard]] std::string request_line(const request_event& from);
[[nodiscard]] std::string contract_line(const contract& from, std::string_view key);

// Parses the JSON lines of a history. The error names the first invalid line.
[[nodiscard]] result<recorded_history> read_history(std::string_view text);

} // namespace primrosehead::history
