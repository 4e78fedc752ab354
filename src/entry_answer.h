// Answers to callers (docs/API.md).
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/http.h>

#include <string_view>

namespace primrosehead::pb {
class backend_reply;
} // namespace primrosehead::pb

namespace primrosehead {

// Names the kind of an error on its answer.
inline constexpr std::string_view problem_kind_header = "Primrose-Error";

// HTTP status of a kind of error.
[[nodiscard]] unsigned http_status(error_kind kind) noexcept;

[[nodiscard]] http::response problem_response(const error& failure, std::string_view request_id);

// 200 with the result of a statement, or `transaction` when one was begun.
[[nodiscard]] http::response success_response(const pb::backend_reply& reply,
                                              std::string_view transaction,
                                              std::string_view session_token,
                                              std::string_view request_id);

} // namespace primrosehead
