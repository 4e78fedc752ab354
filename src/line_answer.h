// Answers of a backend server over the session line protocol, and their parser.
#pragma once

#include "line_dialect.h"

#include <primrosehead/position.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

enum class session_state { idle, in_transaction, failed_transaction };

// The origin of an answer: the backend server, or the cause of an error that this instance
// generated.
enum class answer_cause {
    server,        // forwarded from a backend server
    request,       // malformed, too large, or not allowed in this state
    key,           // invalid key
    database,      // unknown database
    unconfirmed,   // this instance is cut off from the control cluster
    rate,          // organisation's rate and burst exceeded
    crowded,       // no connection or slot became free in time
    no_primary,    // no primary is reachable
    no_server,     // no server can serve the request
    server_silent, // a server did not answer, or its connection broke
    overloaded,    // the server of the transaction could not run the statement in time
    transaction,   // the transaction had failed before
    region,        // no server is inside the allowed regions
    setup,         // a server refused the session's values, prepared statement or BEGIN
};
inline constexpr std::size_t answer_cause_count = 14;

inline constexpr std::string_view no_signature = "-";

// The complete answer to one query: `code` and `text` are set if `is_error`, `signature` otherwise.
struct line_answer {
    std::vector<std::string> rows;
    std::string signature; // "-" if no statement ran
    std::string code;
    std::string text; // error text
    answer_cause cause = answer_cause::server;
    bool is_error = false;
    session_state state = session_state::idle;
    std::optional<log_position> position; // position of the server's log

    // True if a statement that a server runs can have this answer: an error, or a signed success
    // that reports the state in which the statement leaves the connection.
    [[nodiscard]] bool can_answer_statement(session_state state_after_success) const noexcept
    {
        return is_error ||
               (!signature.empty() && signature != no_signature && state == state_after_success);
    }
    // True for a success inside an open transaction, such as that of BEGIN. The answer to a
    // ROLLBACK behind it, which comes first if the former was lost, reports another state.
    [[nodiscard]] bool is_in_transaction() const noexcept
    {
        return !is_error && state == session_state::in_transaction;
    }
};

// Assembles answers from the lines that a server sends.
class line_answer_reader {
  public:
    explicit line_answer_reader(const line_dialect& dialect) : dialect_(&dialect) {}

    enum class progress { incomplete, complete, malformed };

    // The next answer is a server's first message: a ready line alone, or an error line.
    void expect_greeting() noexcept { is_greeting_ = true; }
    [[nodiscard]] bool is_greeting_expected() const noexcept { return is_greeting_; }

    // Parses one line, given without its line ending. On `complete`, `take` returns the answer.
    // Lines of an answer that was cut off and of the next one are malformed together.
    [[nodiscard]] progress feed(std::string_view line);
    [[nodiscard]] line_answer take();

  private:
    [[nodiscard]] progress add_row(std::string_view line);
    [[nodiscard]] progress add_success(std::string_view signature);
    [[nodiscard]] progress add_error(std::string_view fields);
    [[nodiscard]] progress finish(std::string_view fields);

    const line_dialect* dialect_;
    line_answer draft_;
    bool has_outcome_ = false; // the draft has its success or error line
    bool is_greeting_ = false;
};

// Parses "TERM.NUMBER". Returns nothing for "-" and malformed text.
[[nodiscard]] std::optional<log_position> parse_position(std::string_view text) noexcept;
[[nodiscard]] std::string format_position(const std::optional<log_position>& position);

// The answer of a server to the status statement.
struct server_status {
    bool is_primary = false;
    std::uint64_t term = 0;
    log_position received;
    std::uint64_t term_held = 0; // term of the pause in effect, 0 if not paused
    std::uint64_t lag_ms = 0;
    std::uint32_t busy = 0;
    std::uint32_t connections = 0;
};
[[nodiscard]] std::optional<server_status> parse_status(std::string_view row,
                                                        const line_dialect& dialect);

// Returns nothing unless this can be the answer of a status request or an order: an unsigned
// success with one row, outside a transaction.
[[nodiscard]] std::optional<server_status> read_status(const line_answer& answer,
                                                       const line_dialect& dialect);

} // namespace primrosehead
