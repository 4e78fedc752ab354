#include "line_primary_check.h"

#include "line_answer.h"

#include <fmt/format.h>

namespace primrosehead {

std::string make_primary_check(const line_dialect& dialect)
{
    return fmt::format("{0} - {1}\r\n{0} - {2}\r\n", dialect.query, dialect.begin,
                       dialect.rollback);
}

primary_check read_primary_check(std::span<const line_answer> answers, const line_dialect& dialect)
{
    if (answers.empty()) {
        return primary_check::unclear;
    }
    const line_answer& first = answers.front();
    if (first.is_error && first.code == dialect.read_only) {
        return primary_check::refused;
    }
    const bool has_begun = first.is_in_transaction() && first.position;
    return has_begun ? primary_check::primary : primary_check::unclear;
}

} // namespace primrosehead
