#include "standin_messages.h"

#include "lab_json.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace primrosehead::standin {

namespace {

constexpr std::int64_t max_timeout_ms = 600'000;

std::uint64_t number_member(const boost::json::object& source, std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return 0;
    }
    boost::system::error_code ec;
    const auto number = found->to_number<std::uint64_t>(ec);
    return ec ? 0 : number;
}

std::string text_member(const boost::json::object& source, std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    const boost::json::string* text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

bool flag_member(const boost::json::object& source, std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    return found != nullptr && found->is_bool() && found->get_bool();
}

std::optional<log_position> position_member(const boost::json::object& source,
                                            std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    const boost::json::object* position = found == nullptr ? nullptr : found->if_object();
    if (position == nullptr) {
        return std::nullopt;
    }
    return log_position{number_member(*position, "term"), number_member(*position, "index")};
}

std::vector<term_boundary> starts_member(const boost::json::object& source)
{
    std::vector<term_boundary> starts;
    const boost::json::value* found = source.if_contains("starts");
    const boost::json::array* list = found == nullptr ? nullptr : found->if_array();
    if (list == nullptr) {
        return starts;
    }
    for (const boost::json::value& each : *list) {
        if (const boost::json::object* start = each.if_object()) {
            starts.push_back({number_member(*start, "term"), number_member(*start, "index")});
        }
    }
    return starts;
}

unsigned status_of(error_kind kind)
{
    switch (kind) {
    case error_kind::wrong_term:
    case error_kind::behind:
        return 409;
    case error_kind::backend_refused:
        return 422;
    case error_kind::unknown_transaction:
        return 404;
    case error_kind::overloaded:
        return 503;
    case error_kind::timed_out:
        return 504;
    case error_kind::bad_request:
        return 400;
    default:
        return 500;
    }
}

std::uint64_t query_number(std::string_view query, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    const std::size_t found = query.find(key);
    std::uint64_t number = 0;
    if (found != std::string_view::npos) {
        const std::string_view digits = query.substr(found + key.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    }
    return number;
}

std::string query_text(std::string_view query, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    const std::size_t found = query.find(key);
    if (found == std::string_view::npos) {
        return {};
    }
    const std::string_view remainder = query.substr(found + key.size());
    return std::string(remainder.substr(0, remainder.find('&')));
}

} // namespace

status parse_body(std::string_view text, message_body& message)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    const boost::json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
    if (members == nullptr) {
        return error{error_kind::bad_request, "The request body is not a JSON object.",
                     "Send a request as specified in docs/BACKEND.md."};
    }
    message.id = text_member(*members, "id");
    message.write = flag_member(*members, "write");
    message.is_read_only = text_member(*members, "mode") == "read";
    message.term = number_member(*members, "term");
    message.minimum = position_member(*members, "minimum");
    message.wait_for_replica = text_member(*members, "durability") != "primary";
    message.idempotency_id = text_member(*members, "idempotency_id");
    message.transaction = text_member(*members, "transaction");
    message.primary = text_member(*members, "primary");
    message.url = text_member(*members, "url");
    message.starts = starts_member(*members);
    const auto timeout = static_cast<std::int64_t>(number_member(*members, "timeout_ms"));
    if (timeout > 0) {
        message.timeout = clock::duration(std::min(timeout, max_timeout_ms));
    }
    const boost::json::value* found = members->if_contains("statement");
    if (found == nullptr) {
        return std::monostate{};
    }
    result<statement> parsed_statement = parse_statement(*found);
    if (!ok(parsed_statement)) {
        return failure(parsed_statement);
    }
    message.parsed_statement = std::move(value(parsed_statement));
    return std::monostate{};
}

log_query parse_log_query(std::string_view target)
{
    const std::size_t query_start = target.find('?');
    const std::string_view text =
        query_start == std::string_view::npos ? std::string_view() : target.substr(query_start);
    const log_request request{query_number(text, "?after"), query_number(text, "&after_term"),
                              query_number(text, "&term")};
    return log_query{request, query_text(text, "&server")};
}

std::string log_target(const log_request& request, std::string_view server)
{
    return "/v1/log?after=" + std::to_string(request.after) +
           "&after_term=" + std::to_string(request.after_term) +
           "&term=" + std::to_string(request.term) + "&server=" + std::string(server);
}

boost::json::object to_json(log_position position)
{
    return {{"term", position.term}, {"index", position.index}};
}

boost::json::object to_json(const log_batch& batch)
{
    boost::json::array entries;
    for (const log_entry& each : batch.entries) {
        entries.push_back(to_json(each));
    }
    boost::json::object body{{"entries", std::move(entries)}, {"last", to_json(batch.last)}};
    if (batch.ask_after) {
        body["ask_after"] = *batch.ask_after;
    }
    return body;
}

result<log_batch> log_batch_from(std::string_view text)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    const boost::json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
    const boost::json::value* entries =
        members == nullptr ? nullptr : members->if_contains("entries");
    if (entries == nullptr || !entries->is_array()) {
        return error{error_kind::bad_request, "The response to GET /v1/log is invalid.",
                     "Follow a primary that implements docs/BACKEND.md."};
    }
    log_batch batch;
    batch.last = position_member(*members, "last").value_or(log_position{});
    if (members->contains("ask_after")) {
        batch.ask_after = number_member(*members, "ask_after");
    }
    for (const boost::json::value& each : entries->get_array()) {
        result<log_entry> entry = log_entry_from(each);
        if (!ok(entry)) {
            return failure(entry);
        }
        batch.entries.push_back(std::move(value(entry)));
    }
    return batch;
}

http::response to_response(const error& cause, std::string_view id, std::uint64_t term)
{
    http::response answer;
    answer.status = status_of(cause.kind);
    answer.body = boost::json::serialize(boost::json::object{{"id", id},
                                                             {"kind", to_string(cause.kind)},
                                                             {"message", cause.message},
                                                             {"ran", to_string(cause.ran)},
                                                             {"term", term}});
    return answer;
}

http::response to_response(const boost::json::object& body)
{
    http::response answer;
    answer.body = boost::json::serialize(body);
    return answer;
}

} // namespace primrosehead::standin
