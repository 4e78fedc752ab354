#include "pooler_home_message.h"

#include "primrosehead.pb.h"

#include <primrosehead/config.h>

#include <algorithm>

namespace primrosehead::pooler {

namespace {

// A longer text would end the line on the server's connection early and begin another query.
bool is_one_line(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool is_word(std::string_view text)
{
    return is_one_line(text) && text.find(' ') == std::string_view::npos;
}

home_ending read_ending(const pb::home_reply& reply)
{
    switch (reply.result()) {
    case pb::HOME_ANSWERED:
        return reply.has_answer() ? home_ending::answered : home_ending::silent;
    case pb::HOME_REFUSED:
        return reply.has_answer() ? home_ending::refused_by_server : home_ending::refused;
    case pb::HOME_LEAVING:
        return home_ending::leaving;
    case pb::HOME_UNAVAILABLE:
        return home_ending::unavailable;
    case pb::HOME_LOST:
        return home_ending::lost;
    case pb::HOME_INVALID:
        return home_ending::invalid;
    default:
        return home_ending::silent;
    }
}

} // namespace

std::string_view find_home_request_error(const pb::home_request& request)
{
    if (request.call() == 0 || request.incarnation() == 0) {
        return "no call number or incarnation";
    }
    if (!pb::home_operation_IsValid(request.operation())) {
        return "unknown operation";
    }
    if (request.operation() == pb::HOME_CANCEL) {
        return {};
    }
    const bool is_of_transaction = request.operation() == pb::HOME_STATEMENT ||
                                   request.operation() == pb::HOME_COMMIT ||
                                   request.operation() == pb::HOME_ROLLBACK;
    if (is_of_transaction != (request.transaction() != 0)) {
        return "transaction number does not fit the operation";
    }
    if (request.operation() == pb::HOME_ROLLBACK) {
        return {};
    }
    if (is_of_transaction && request.step() == 0) {
        return "no step number";
    }
    if (request.server().empty() || request.group().empty() || !is_word(request.server()) ||
        !is_word(request.group()) || !is_word(request.organisation())) {
        return "server, group or organisation is not a name";
    }
    if (request.remaining_ms() == 0 || request.remaining_ms() > config::max_statement_timeout_ms) {
        return "remaining time is out of range";
    }
    if (request.statement_id().empty() || !is_word(request.statement_id())) {
        return "statement id is not a word";
    }
    if (request.operation() != pb::HOME_COMMIT && request.statement().empty()) {
        return "no statement";
    }
    if (request.statement().size() > config::max_line_bytes || !is_one_line(request.statement()) ||
        request.prepared_shape().size() > config::max_line_bytes ||
        !is_one_line(request.prepared_shape()) || !is_word(request.prepared_name())) {
        return "statement is too large or not one line";
    }
    if (request.operation() == pb::HOME_READ_REPLICA && !request.has_minimum()) {
        return "no minimum position";
    }
    if (static_cast<std::size_t>(request.values_size()) > config::max_session_values) {
        return "too many session values";
    }
    const bool has_bad_value =
        std::any_of(request.values().begin(), request.values().end(), [](const auto& each) {
            return each.name().empty() || !is_word(each.name()) || !is_one_line(each.value());
        });
    return has_bad_value ? "session value is not one line" : "";
}

void write_position(const log_position& position, pb::position& record)
{
    record.set_term(position.term);
    record.set_index(position.index);
}

log_position read_position(const pb::position& record)
{
    return {record.term(), record.index()};
}

void write_answer(const line_answer& answer, pb::answer_record& record)
{
    for (const std::string& row : answer.rows) {
        record.add_rows(row);
    }
    record.set_signature(answer.signature);
    record.set_code(answer.code);
    record.set_text(answer.text);
    record.set_error(answer.is_error);
    record.set_state(static_cast<std::uint32_t>(answer.state));
    if (answer.position) {
        write_position(*answer.position, *record.mutable_at());
    }
}

line_answer read_answer(const pb::answer_record& record)
{
    constexpr auto last_state = static_cast<std::uint32_t>(session_state::failed_transaction);
    line_answer answer;
    answer.rows.assign(record.rows().begin(), record.rows().end());
    answer.signature = record.signature();
    answer.code = record.code();
    answer.text = record.text();
    answer.is_error = record.error();
    answer.state = static_cast<session_state>(std::min(record.state(), last_state));
    if (record.has_at()) {
        answer.position = read_position(record.at());
    }
    return answer;
}

home_result read_home_reply(const pb::home_reply& reply)
{
    home_result result;
    result.ending = read_ending(reply);
    if (reply.has_answer()) {
        result.answer = read_answer(reply.answer());
    }
    result.retry_after = clock::duration(reply.retry_after_ms());
    result.reason = reply.reason();
    result.waited = clock::duration(reply.waited_ms());
    return result;
}

} // namespace primrosehead::pooler
