#include "line_answer.h"

#include "line_statement.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace primrosehead {

namespace {

template <class Number>
bool parse_number(std::string_view text, Number& number) noexcept
{
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failed == std::errc() && end == text.data() + text.size() && !text.empty();
}

std::optional<session_state> parse_state(std::string_view text) noexcept
{
    if (text == "I") {
        return session_state::idle;
    }
    if (text == "T") {
        return session_state::in_transaction;
    }
    if (text == "E") {
        return session_state::failed_transaction;
    }
    return std::nullopt;
}

} // namespace

line_answer_reader::progress line_answer_reader::finish(std::string_view fields)
{
    const split_text state = split_first_word(fields);
    const std::optional<session_state> parsed = parse_state(state.first);
    if (!parsed) {
        return progress::malformed;
    }
    draft_.state = *parsed;
    draft_.position = parse_position(state.remainder);
    return progress::complete;
}

line_answer_reader::progress line_answer_reader::feed(std::string_view line)
{
    const split_text message = split_first_word(line);
    if (message.first == dialect_->row) {
        draft_.rows.emplace_back(message.remainder);
        return progress::incomplete;
    }
    if (message.first == dialect_->complete) {
        draft_.signature = message.remainder;
        return progress::incomplete;
    }
    if (message.first == dialect_->failed) {
        const split_text code = split_first_word(message.remainder);
        draft_.is_error = true;
        draft_.code = code.first;
        draft_.text = code.remainder;
        return progress::incomplete;
    }
    return message.first == dialect_->ready ? finish(message.remainder) : progress::malformed;
}

line_answer line_answer_reader::take()
{
    return std::exchange(draft_, line_answer{});
}

std::optional<log_position> parse_position(std::string_view text) noexcept
{
    const std::size_t dot = text.find('.');
    log_position position;
    if (dot == std::string_view::npos || !parse_number(text.substr(0, dot), position.term) ||
        !parse_number(text.substr(dot + 1), position.index)) {
        return std::nullopt;
    }
    return position;
}

std::string format_position(const std::optional<log_position>& position)
{
    return position ? fmt::format("{}.{}", position->term, position->index) : "-";
}

std::optional<server_status> parse_status(std::string_view row, std::string_view primary_role)
{
    constexpr std::size_t field_count = 7;
    std::vector<std::string_view> fields;
    while (!row.empty() && fields.size() < field_count) {
        const split_text field = split_first_word(row);
        fields.push_back(field.first);
        row = field.remainder;
    }
    server_status status;
    if (fields.size() < field_count) {
        return std::nullopt;
    }
    const std::optional<log_position> received = parse_position(fields[2]);
    if (!received || !parse_number(fields[1], status.term) ||
        !parse_number(fields[3], status.term_held) || !parse_number(fields[4], status.lag_ms) ||
        !parse_number(fields[5], status.busy) || !parse_number(fields[6], status.connections)) {
        return std::nullopt;
    }
    status.is_primary = fields[0] == primary_role;
    status.received = *received;
    return status;
}

} // namespace primrosehead
