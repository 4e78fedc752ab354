// Reading of callers' requests (docs/API.md).
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

// The body of a statement, or of the beginning of a transaction (`mode`, no `statement`).
struct caller_request {
    database_name database;
    route_name route;
    std::string statement; // JSON text
    std::optional<enum access> mode;
    std::optional<clock::duration> max_age;
    std::optional<clock::duration> timeout;
};

// Which members a body may and must have.
enum class body_kind { statement, begin, statement_in_transaction, end };

// `error_kind::bad_request` names the member, what was expected and the remedy.
[[nodiscard]] result<caller_request> parse_caller_request(std::string_view body, body_kind kind);

// What a request's target asks for.
enum class call_kind { statement, begin, transaction_statement, commit, rollback, unknown };

struct call_target {
    call_kind kind = call_kind::unknown;
    std::string_view transaction; // the caller's transaction id
};

// Which document of the environment a request uses: the Primrose-Stage header tells.
enum class stage { production, trial };

[[nodiscard]] stage stage_from_header(const http::request& received) noexcept;

[[nodiscard]] call_target parse_target(std::string_view target);

} // namespace primrosehead
