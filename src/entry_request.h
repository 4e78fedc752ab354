// Parser for the requests of callers (docs/API.md).
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/environment.h>
#include <primrosehead/error.h>
#include <primrosehead/http.h>
#include <primrosehead/names.h>

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

// The body of a statement or of a begin request, which has a `mode` and no `statement`.
struct caller_request {
    database_name database;
    route_name route;
    std::string statement; // JSON text
    std::optional<enum access> mode;
    std::optional<clock::duration> max_age;
    std::optional<clock::duration> timeout;
};

// Determines which members a body may contain and which are required.
enum class body_kind { statement, begin, statement_in_transaction, end };

// Parses a request body. An `error_kind::bad_request` names the invalid member, the expected value
// and a remedy.
[[nodiscard]] result<caller_request> parse_caller_request(std::string_view body, body_kind kind);

// The operation that a request's target selects.
enum class call_kind { statement, begin, transaction_statement, commit, rollback, unknown };

struct call_target {
    call_kind kind = call_kind::unknown;
    std::string_view transaction; // the caller's transaction id
};

// The environment document that a request uses, selected by its Primrose-Stage header.
enum class stage { production, trial };

[[nodiscard]] stage stage_from_header(const http::request& received) noexcept;

[[nodiscard]] call_target parse_target(std::string_view target);

} // namespace primrosehead
