#include "control_order_answer.h"

#include <primrosehead/error.h>

#include <boost/json.hpp>

#include <optional>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;

std::optional<std::uint64_t> read_number(const json::object& object, std::string_view key)
{
    const json::value* const found = object.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto number = found->to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional(number);
}

bool has_text(const json::object& object, std::string_view key, std::string_view expected)
{
    const json::value* const found = object.if_contains(key);
    return found != nullptr && found->is_string() && found->get_string() == expected;
}

std::optional<log_position> read_received(const json::object& body)
{
    const json::value* const found = body.if_contains("received");
    if (found == nullptr || !found->is_object()) {
        return std::nullopt;
    }
    const auto term = read_number(found->get_object(), "term");
    const auto index = read_number(found->get_object(), "index");
    return term && index ? std::optional(log_position{*term, *index}) : std::nullopt;
}

} // namespace

void read_order_answer(unsigned http_status, std::string_view body, order_answer& answer)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(body, ec);
    if (ec || !parsed.is_object()) {
        return;
    }
    const json::object& fields = parsed.get_object();
    const std::optional<std::uint64_t> term = read_number(fields, "term");
    if (http_status != status_ok) {
        const bool refuses_term = has_text(fields, "kind", to_string(error_kind::wrong_term));
        answer.seen_term = refuses_term ? term.value_or(0) : 0;
        return;
    }
    if (term != answer.term || !has_text(fields, "server", answer.server)) {
        return;
    }
    const std::optional<std::uint64_t> index = read_number(fields, "index");
    const std::optional<log_position> received = read_received(fields);
    switch (answer.kind) {
    case order_kind::fence:
        answer.accepted = received.has_value();
        break;
    case order_kind::promote:
        answer.accepted = index.has_value();
        break;
    case order_kind::follow:
        answer.accepted = true;
        break;
    }
    answer.seen_term = answer.term;
    answer.received = received.value_or(log_position{});
    answer.start_index = index.value_or(0);
}

} // namespace primrosehead
