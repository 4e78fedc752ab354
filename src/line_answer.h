// What a backend server answers over the session line protocol, and its reader.
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

// Where an answer comes from, and what an instance's own error is about.
enum class answer_cause {
    server,        // a server's answer, passed on
    request,       // can't be read, too large, or out of place
    key,           // not valid
    database,      // unknown
    unconfirmed,   // the instance is cut off from control
    rate,          // beyond the organisation's rate and burst
    crowded,       // no connection or slot in time
    no_primary,    // none can be reached
    no_server,     // none can serve this
    server_silent, // a server did not answer, or the connection to it broke
    overloaded,    // the transaction's server could not run it in time
    transaction,   // it failed before
};
inline constexpr std::size_t answer_cause_count = 12;

// The whole answer to one query. `is_error` tells which of `signature` and `code` is set.
struct line_answer {
    std::vector<std::string> rows;
    std::string signature; // "-" when no statement ran
    std::string code;
    std::string text; // of an error
    answer_cause cause = answer_cause::server;
    bool is_error = false;
    session_state state = session_state::idle;
    std::optional<log_position> position; // of the server's log
};

// Reads a server's lines into answers.
class line_answer_reader {
  public:
    explicit line_answer_reader(const line_dialect& dialect) : dialect_(&dialect) {}

    enum class progress { incomplete, complete, malformed };

    // Takes one line without its end. `complete`: `take` gives the finished answer.
    [[nodiscard]] progress feed(std::string_view line);
    [[nodiscard]] line_answer take();

  private:
    [[nodiscard]] progress finish(std::string_view fields);

    const line_dialect* dialect_;
    line_answer draft_;
};

// "TERM.NUMBER"; none for "-" and anything else.
[[nodiscard]] std::optional<log_position> parse_position(std::string_view text) noexcept;
[[nodiscard]] std::string format_position(const std::optional<log_position>& position);

// A server's answer to the status statement.
struct server_status {
    bool is_primary = false;
    std::uint64_t term = 0;
    log_position received;
    std::uint64_t term_held = 0;
    std::uint64_t lag_ms = 0;
    std::uint32_t busy = 0;
    std::uint32_t connections = 0;
};
[[nodiscard]] std::optional<server_status> parse_status(std::string_view row,
                                                        std::string_view primary_word);

} // namespace primrosehead
