// What a caller's session has set, and how a pooled connection is brought into that state. Pure.
#pragma once

#include "line_answer.h"
#include "line_dialect.h"
#include "pooler_connection.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

// A statement that a session prepared. Names of sessions collide, so the pool has its own.
struct prepared_statement {
    bool is_write = false;
    std::string shape;
    std::string pool_name;
};

struct session_context {
    session_values values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
    std::optional<log_position> last_commit; // of this session
    clock::time_point last_commit_at{};      // when it was acknowledged
};

// The pool's name for a statement of this kind and shape.
[[nodiscard]] std::string pooled_statement_name(bool is_write, std::string_view shape);

// Queries that go before a statement.
struct setup_queries {
    std::string queries;
    std::size_t count = 0;
};

// Queries that bring the connection into the session's state, with `needed` prepared there.
// Inside a transaction nothing is discarded.
[[nodiscard]] setup_queries make_setup_queries(const pooled_connection& connection,
                                               const session_context& session,
                                               const prepared_statement* needed,
                                               bool in_transaction, const line_dialect& dialect);

// Notes that the queries were carried out.
void record_setup(pooled_connection& connection, const session_context& session,
                  const prepared_statement* needed, bool in_transaction);

// True when none of the first `count` answers is an error.
[[nodiscard]] bool all_succeeded(std::span<const line_answer> answers, std::size_t count);

} // namespace primrosehead::pooler
