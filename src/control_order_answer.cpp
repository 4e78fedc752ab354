#include "control_order_answer.h"

#include "json_field_reader.h"

#include <primrosehead/error.h>

#include <boost/json.hpp>

#include <optional>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;

std::optional<log_position> read_received(const json_field_reader& body)
{
    const json::value* const found = body.any("received");
    if (found == nullptr || !found->is_object()) {
        return std::nullopt;
    }
    const json_field_reader received(found->get_object());
    const auto term = received.number("term");
    const auto index = received.number("index");
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
    const json_field_reader fields(parsed.get_object());
    const std::optional<std::uint64_t> term = fields.number("term");
    if (http_status != status_ok) {
        const bool refuses_term = fields.text("kind") == to_string(error_kind::wrong_term);
        answer.seen_term = refuses_term ? term.value_or(0) : 0;
        return;
    }
    if (term != answer.term || fields.text("server") != answer.server) {
        return;
    }
    const std::optional<std::uint64_t> index = fields.number("index");
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
