// Parser for the statements of the session line protocol.
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

// A parsed statement; its members are views into the text.
struct line_statement {
    statement_kind kind = statement_kind::malformed;
    std::string_view name;      // of the session value or prepared statement
    std::string_view arguments; // value, statement shape, or arguments of an EXECUTE
};

[[nodiscard]] line_statement parse_statement(std::string_view text, const line_dialect& dialect);

struct split_text {
    std::string_view first;
    std::string_view remainder;
};
// Splits `text` at its first blank.
[[nodiscard]] split_text split_first_word(std::string_view text) noexcept;

} // namespace primrosehead
