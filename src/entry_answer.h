// HTTP responses to callers (docs/API.md).
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/http.h>

#include <string_view>

namespace primrosehead::pb {
class backend_reply;
} // namespace primrosehead::pb

namespace primrosehead {

// Response header that carries the error kind.
inline constexpr std::string_view problem_kind_header = "Primrose-Error";

// Returns the HTTP status for an error kind.
[[nodiscard]] unsigned http_status(error_kind kind) noexcept;

// Builds an application/problem+json response.
[[nodiscard]] http::response problem_response(const error& failure, std::string_view request_id);

// Builds a 200 response with the result of a statement, or with the id of a new transaction.
[[nodiscard]] http::response success_response(const pb::backend_reply& reply,
                                              std::string_view transaction,
                                              std::string_view session_token,
                                              std::string_view request_id);

} // namespace primrosehead
