#include "line_answer.h"

#include "line_statement.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace primrosehead {

namespace {

template <class Number>
bool read_number(std::string_view text, Number& into) noexcept
{
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), into);
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
    const std::optional<session_state> known = parse_state(state.first);
    if (!known) {
        return progress::malformed;
    }
    draft_.state = *known;
    draft_.position = parse_position(state.remainder);
    return progress::complete;
}

line_answer_reader::progress line_answer_reader::feed(std::string_view line)
{
    const split_text word = split_first_word(line);
    if (word.first == dialect_->row) {
        draft_.rows.emplace_back(word.remainder);
        return progress::incomplete;
    }
    if (word.first == dialect_->complete) {
        draft_.signature = word.remainder;
        return progress::incomplete;
    }
    if (word.first == dialect_->failed) {
        const split_text code = split_first_word(word.remainder);
        draft_.is_error = true;
        draft_.code = code.first;
        draft_.text = code.remainder;
        return progress::incomplete;
    }
    return word.first == dialect_->ready ? finish(word.remainder) : progress::malformed;
}

line_answer line_answer_reader::take()
{
    return std::exchange(draft_, line_answer{});
}

std::optional<log_position> parse_position(std::string_view text) noexcept
{
    const std::size_t dot = text.find('.');
    log_position position;
    if (dot == std::string_view::npos || !read_number(text.substr(0, dot), position.term) ||
        !read_number(text.substr(dot + 1), position.index)) {
        return std::nullopt;
    }
    return position;
}

std::string format_position(const std::optional<log_position>& position)
{
    return position ? fmt::format("{}.{}", position->term, position->index) : "-";
}

std::optional<server_status> parse_status(std::string_view row, std::string_view primary_word)
{
    constexpr std::size_t fields = 7;
    std::vector<std::string_view> parts;
    while (!row.empty() && parts.size() < fields) {
        const split_text next = split_first_word(row);
        parts.push_back(next.first);
        row = next.remainder;
    }
    server_status status;
    if (parts.size() < fields) {
        return std::nullopt;
    }
    const std::optional<log_position> received = parse_position(parts[2]);
    if (!received || !read_number(parts[1], status.term) ||
        !read_number(parts[3], status.term_held) || !read_number(parts[4], status.lag_ms) ||
        !read_number(parts[5], status.busy) || !read_number(parts[6], status.connections)) {
        return std::nullopt;
    }
    status.is_primary = parts[0] == primary_word;
    status.received = *received;
    return status;
}

} // namespace primrosehead
