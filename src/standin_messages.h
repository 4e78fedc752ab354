// JSON encoding of the requests and responses of docs/BACKEND.md.
#pragma once

#include "standin_database.h"

#include <primrosehead/http.h>

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::standin {

// The members of a request body. Absent members keep their defaults.
struct message_body {
    std::string id;
    std::optional<statement> parsed_statement;
    bool write = false;
    bool is_read_only = false; // "mode":"read"
    std::uint64_t term = 0;
    std::optional<log_position> minimum;
    bool wait_for_replica = true;
    std::string idempotency_id;
    std::string transaction;
    clock::duration timeout{2'000};
    std::string primary;
    std::string url;
    std::vector<term_boundary> starts;
};

// Parses a request body. On failure, `message` has the members that were read before the error; the
// error itself does not name the request id.
[[nodiscard]] status parse_body(std::string_view text, message_body& message);

// The query parameters of GET /v1/log.
struct log_query {
    log_request request;
    std::string server;
};
[[nodiscard]] log_query parse_log_query(std::string_view target);
[[nodiscard]] std::string log_target(const log_request& request, std::string_view server);

[[nodiscard]] boost::json::object to_json(log_position position);
[[nodiscard]] boost::json::object to_json(const log_batch& batch);
[[nodiscard]] result<log_batch> log_batch_from(std::string_view text);

// Returns the response to a failed request, with the HTTP status of its error kind.
[[nodiscard]] http::response to_response(const error& cause, std::string_view id,
                                         std::uint64_t term);
[[nodiscard]] http::response to_response(const boost::json::object& body);

} // namespace primrosehead::standin
