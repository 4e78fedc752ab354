#include "line_answer.h"

#include "line_statement.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace primrosehead {

namespace {

constexpr std::string_view no_position = "-";

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

line_answer_reader::progress line_answer_reader::add_row(std::string_view line)
{
    const std::size_t end_of_word = dialect_->row.size();
    if (has_outcome_ || line.size() == end_of_word) {
        return progress::malformed;
    }
    draft_.rows.emplace_back(line.substr(end_of_word + 1));
    return progress::incomplete;
}

line_answer_reader::progress line_answer_reader::add_success(std::string_view signature)
{
    if (has_outcome_ || signature.empty() || signature.find(' ') != std::string_view::npos) {
        return progress::malformed;
    }
    has_outcome_ = true;
    draft_.signature = signature;
    return progress::incomplete;
}

line_answer_reader::progress line_answer_reader::add_error(std::string_view fields)
{
    const split_text code = split_first_word(fields);
    if (has_outcome_ || code.first.empty()) {
        return progress::malformed;
    }
    has_outcome_ = true;
    draft_.is_error = true;
    draft_.code = code.first;
    draft_.text = code.remainder;
    return progress::incomplete;
}

line_answer_reader::progress line_answer_reader::finish(std::string_view fields)
{
    const split_text state = split_first_word(fields);
    const std::optional<session_state> parsed = parse_state(state.first);
    const std::optional<log_position> position = parse_position(state.remainder);
    const bool has_position = position || state.remainder == no_position;
    if (!parsed || !has_position || !(has_outcome_ || is_greeting_)) {
        return progress::malformed;
    }
    draft_.state = *parsed;
    draft_.position = position;
    return progress::complete;
}

line_answer_reader::progress line_answer_reader::feed(std::string_view line)
{
    const split_text message = split_first_word(line);
    if (message.first == dialect_->row) {
        return add_row(line);
    }
    if (message.first == dialect_->complete) {
        return add_success(message.remainder);
    }
    if (message.first == dialect_->failed) {
        return add_error(message.remainder);
    }
    return message.first == dialect_->ready ? finish(message.remainder) : progress::malformed;
}

line_answer line_answer_reader::take()
{
    has_outcome_ = false;
    is_greeting_ = false;
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
    return position ? fmt::format("{}.{}", position->term, position->index)
                    : std::string(no_position);
}

std::optional<server_status> parse_status(std::string_view row, const line_dialect& dialect)
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
    const bool is_primary = fields[0] == dialect.primary_role;
    const std::optional<log_position> received = parse_position(fields[2]);
    if ((!is_primary && fields[0] != dialect.replica_role) || !received ||
        !parse_number(fields[1], status.term) || !parse_number(fields[3], status.term_held) ||
        !parse_number(fields[4], status.lag_ms) || !parse_number(fields[5], status.busy) ||
        !parse_number(fields[6], status.connections)) {
        return std::nullopt;
    }
    status.is_primary = is_primary;
    status.received = *received;
    return status;
}

std::optional<server_status> read_status(const line_answer& answer, const line_dialect& dialect)
{
    const bool is_status = !answer.is_error && answer.signature == no_signature &&
                           answer.state == session_state::idle && answer.rows.size() == 1;
    return is_status ? parse_status(answer.rows.front(), dialect) : std::nullopt;
}

} // namespace primrosehead
