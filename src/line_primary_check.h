// Asks a server whether it is the primary: only a primary begins a transaction. The queries take no
// statement slot, and every answer has the position of the server's log. Pure.
#pragma once

#include "line_dialect.h"

#include <cstddef>
#include <span>
#include <string>

namespace primrosehead {

struct line_answer;

// Queries of a check: BEGIN, and the ROLLBACK behind it.
inline constexpr std::size_t primary_check_queries = 2;
[[nodiscard]] std::string make_primary_check(const line_dialect& dialect);

enum class primary_check {
    primary, // the first answer is that of BEGIN, and has a position
    refused, // the first answer is the refusal of a server that is not the primary
    unclear, // no answer, another error, or the first answer is not that of BEGIN
};

// `answers`: as received, also those of an incomplete exchange.
[[nodiscard]] primary_check read_primary_check(std::span<const line_answer> answers,
                                               const line_dialect& dialect);

} // namespace primrosehead
