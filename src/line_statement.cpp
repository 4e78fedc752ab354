#include "line_statement.h"

namespace primrosehead {

namespace {

line_statement malformed() noexcept
{
    return {};
}

line_statement parse_prepare(std::string_view arguments, const line_dialect& dialect)
{
    const split_text name = split_first_word(arguments);
    const split_text verb = split_first_word(name.remainder);
    if (name.first.empty() || verb.remainder.empty()) {
        return malformed();
    }
    if (verb.first == dialect.read) {
        return {statement_kind::prepare_read, name.first, verb.remainder};
    }
    if (verb.first == dialect.write) {
        return {statement_kind::prepare_write, name.first, verb.remainder};
    }
    return malformed();
}

line_statement parse_named(statement_kind kind, std::string_view arguments, bool needs_arguments)
{
    const split_text name = split_first_word(arguments);
    if (name.first.empty() || (needs_arguments && name.remainder.empty())) {
        return malformed();
    }
    return {kind, name.first, name.remainder};
}

} // namespace

split_text split_first_word(std::string_view text) noexcept
{
    const std::size_t blank = text.find(' ');
    if (blank == std::string_view::npos) {
        return {text, {}};
    }
    return {text.substr(0, blank), text.substr(blank + 1)};
}

line_statement parse_statement(std::string_view text, const line_dialect& dialect)
{
    const split_text verb = split_first_word(text);
    if (verb.first == dialect.read) {
        return verb.remainder.empty() ? malformed()
                                      : line_statement{statement_kind::read, {}, verb.remainder};
    }
    if (verb.first == dialect.write) {
        return parse_named(statement_kind::write, verb.remainder, true);
    }
    if (verb.first == dialect.execute) {
        return parse_named(statement_kind::execute, verb.remainder, true);
    }
    if (verb.first == dialect.begin) {
        if (verb.remainder == dialect.read) {
            return {statement_kind::begin_read_only, {}, {}};
        }
        return verb.remainder.empty() ? line_statement{statement_kind::begin, {}, {}} : malformed();
    }
    if (verb.first == dialect.commit && verb.remainder.empty()) {
        return {statement_kind::commit, {}, {}};
    }
    if (verb.first == dialect.rollback && verb.remainder.empty()) {
        return {statement_kind::rollback, {}, {}};
    }
    if (verb.first == dialect.set) {
        return parse_named(statement_kind::set, verb.remainder, false);
    }
    if (verb.first == dialect.prepare) {
        return parse_prepare(verb.remainder, dialect);
    }
    if (verb.first == dialect.deallocate) {
        return parse_named(statement_kind::deallocate, verb.remainder, false);
    }
    return malformed();
}

} // namespace primrosehead
