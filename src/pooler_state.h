// The state of a caller's session, and the queries that set up a pooled connection for it. Pure.
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

// A statement that a session prepared. Different sessions may use the same name, so the pool
// prepares it under a name of its own.
struct prepared_statement {
    bool is_write = false;
    std::string shape;
    std::string pool_name;
};

struct session_context {
    session_values values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
    std::optional<log_position> last_commit; // position of the session's last commit
    clock::time_point last_commit_at{};      // when that commit was acknowledged
};

// Returns the name under which the pool prepares a statement of this kind and shape.
[[nodiscard]] std::string pooled_statement_name(bool is_write, std::string_view shape);

// Queries that are sent ahead of a statement.
struct setup_queries {
    std::string queries;
    std::size_t count = 0;
};

// Returns the queries that bring the connection into the session's state, with `needed` prepared.
// Inside a transaction no state is discarded.
[[nodiscard]] setup_queries make_setup_queries(const pooled_connection& connection,
                                               const session_context& session,
                                               const prepared_statement* needed,
                                               bool in_transaction, const line_dialect& dialect);

// Updates the connection's state after the setup queries succeeded.
void record_setup(pooled_connection& connection, const session_context& session,
                  const prepared_statement* needed, bool in_transaction);

// True when the first `count` answers are there and are successes in `state`, in which the queries
// were sent.
[[nodiscard]] bool all_succeeded(std::span<const line_answer> answers, std::size_t count,
                                 session_state state);

} // namespace primrosehead::pooler
