// Statements of the session line protocol.
#pragma once

#include "line_dialect.h"

#include <string_view>

namespace primrosehead {

enum class statement_kind {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set,
    prepare_read,
    prepare_write,
    execute,
    deallocate,
    malformed,
};

// Views into the statement's text.
struct line_statement {
    statement_kind kind = statement_kind::malformed;
    std::string_view name;      // of a value or prepared statement
    std::string_view arguments; // value, shape, or what an EXECUTE passes on
};

[[nodiscard]] line_statement parse_statement(std::string_view text, const line_dialect& dialect);

// Splits the first word off a text of blank-separated words.
struct split_text {
    std::string_view first;
    std::string_view remainder;
};
[[nodiscard]] split_text split_first_word(std::string_view text) noexcept;

} // namespace primrosehead
