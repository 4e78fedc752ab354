#include "line_statement.h"

namespace primrosehead {

namespace {

line_statement malformed() noexcept
{
    return {};
}

line_statement parse_prepare(std::string_view rest, const line_dialect& dialect)
{
    const split_words name = split_first(rest);
    const split_words verb = split_first(name.rest);
    if (name.first.empty() || verb.rest.empty()) {
        return malformed();
    }
    if (verb.first == dialect.read) {
        return {statement_kind::prepare_read, name.first, verb.rest};
    }
    if (verb.first == dialect.write) {
        return {statement_kind::prepare_write, name.first, verb.rest};
    }
    return malformed();
}

line_statement named(statement_kind kind, std::string_view rest, bool needs_arguments)
{
    const split_words name = split_first(rest);
    if (name.first.empty() || (needs_arguments && name.rest.empty())) {
        return malformed();
    }
    return {kind, name.first, name.rest};
}

} // namespace

split_words split_first(std::string_view text) noexcept
{
    const std::size_t blank = text.find(' ');
    if (blank == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, blank), text.substr(blank + 1)};
}

line_statement parse_statement(std::string_view text, const line_dialect& dialect)
{
    const split_words verb = split_first(text);
    if (verb.first == dialect.read) {
        return verb.rest.empty() ? malformed()
                                 : line_statement{statement_kind::read, {}, verb.rest};
    }
    if (verb.first == dialect.write) {
        return named(statement_kind::write, verb.rest, true);
    }
    if (verb.first == dialect.execute) {
        return named(statement_kind::execute, verb.rest, true);
    }
    if (verb.first == dialect.begin) {
        if (verb.rest == dialect.read) {
            return {statement_kind::begin_read_only, {}, {}};
        }
        return verb.rest.empty() ? line_statement{statement_kind::begin, {}, {}} : malformed();
    }
    if (verb.first == dialect.commit && verb.rest.empty()) {
        return {statement_kind::commit, {}, {}};
    }
    if (verb.first == dialect.rollback && verb.rest.empty()) {
        return {statement_kind::rollback, {}, {}};
    }
    if (verb.first == dialect.set) {
        return named(statement_kind::set, verb.rest, false);
    }
    if (verb.first == dialect.prepare) {
        return parse_prepare(verb.rest, dialect);
    }
    if (verb.first == dialect.deallocate) {
        return named(statement_kind::deallocate, verb.rest, false);
    }
    return malformed();
}

} // namespace primrosehead
