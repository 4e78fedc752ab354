#include "ctl_target.h"

#include "state_replies.h"

#include <primrosehead/keys.h>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/strings/escaping.h>
#include <boost/json.hpp>

#include <cstdint>
#include <iostream>

ABSL_DECLARE_FLAG(std::string, config);
ABSL_DECLARE_FLAG(std::string, cell);
ABSL_DECLARE_FLAG(std::vector<std::string>, control);
ABSL_DECLARE_FLAG(std::string, request_id);
ABSL_DECLARE_FLAG(std::int64_t, timeout_ms);
ABSL_DECLARE_FLAG(bool, json);

namespace primrosehead::ctl {

namespace json = boost::json;

namespace {

result<operator_settings> read_settings()
{
    const std::string path = absl::GetFlag(FLAGS_config);
    if (!path.empty()) {
        const result<std::string> text = read_file(path);
        return ok(text) ? parse_operator_settings(value(text)) : failure(text);
    }
    json::array control;
    for (const std::string& endpoint : absl::GetFlag(FLAGS_control)) {
        const std::string name = "control-" + std::to_string(control.size() + 1);
        control.push_back(json::object{{"name", name}, {"endpoint", endpoint}});
    }
    const json::object settings{{"cell", absl::GetFlag(FLAGS_cell)}, {"control", control}};
    return parse_operator_settings(json::serialize(settings));
}

operator_outcome rejected_outcome(const error& cause)
{
    operator_outcome outcome;
    outcome.state = exchange_state::answered;
    outcome.reply = rejected_reply(cause);
    return outcome;
}

std::string outcome_text(const target& destination, const operator_outcome& outcome)
{
    if (outcome.state == exchange_state::unknown) {
        return "The outcome is unknown: no reply arrived before the timeout. Retry with "
               "--request-id " +
               destination.request_id + ": the request runs at most once.";
    }
    if (outcome.state == exchange_state::not_run) {
        return "Not run: no control instance is the leader. Retry later; see primrosectl status.";
    }
    return describe(to_error(outcome.reply.error()));
}

} // namespace

int print_error(int code, std::string_view text)
{
    std::cerr << "primrosectl: " << text << '\n';
    return code;
}

int print_error(const error& cause, int code)
{
    return print_error(code, describe(cause));
}

result<target> read_target()
{
    constexpr std::size_t request_id_bytes = 12;
    result<operator_settings> settings = read_settings();
    if (!ok(settings)) {
        return failure(settings);
    }
    target destination;
    destination.settings = value(std::move(settings));
    for (const control_address& address : destination.settings.control) {
        destination.control.push_back(address.endpoint);
    }
    destination.request_id = absl::GetFlag(FLAGS_request_id);
    if (destination.request_id.empty()) {
        const result<std::string> id = random_hex(request_id_bytes, system_random);
        if (!ok(id)) {
            return failure(id);
        }
        destination.request_id = "ctl-" + value(id);
    }
    destination.timeout = clock::duration(absl::GetFlag(FLAGS_timeout_ms));
    return destination;
}

operator_outcome send_request(const target& destination, std::span<const std::string> endpoints,
                              pb::operator_request request, std::string_view request_id)
{
    exchange_timing timing;
    timing.total_timeout = destination.timeout;
    result<operator_client> client =
        operator_client::open(destination.settings.cell, destination.settings.bus_key, timing);
    if (!ok(client)) {
        return rejected_outcome(failure(client));
    }
    request.set_request_id(std::string(request_id));
    return value(client).execute(endpoints, request);
}

operator_outcome send_to_control(const target& destination, const pb::operator_request& request)
{
    return send_request(destination, destination.control, request, destination.request_id);
}

int exit_code(const operator_outcome& outcome)
{
    switch (outcome.state) {
    case exchange_state::answered:
        return outcome.reply.ok() ? exit_success : exit_refused;
    case exchange_state::not_run:
        return exit_refused;
    case exchange_state::in_progress:
    case exchange_state::unknown:
        break;
    }
    return exit_unknown;
}

json::object outcome_json(const target& destination, const operator_outcome& outcome)
{
    json::object object{{"ok", exit_code(outcome) == exit_success},
                        {"request_id", destination.request_id},
                        {"version", outcome.reply.version()}};
    if (exit_code(outcome) != exit_success) {
        object["kind"] =
            outcome.state == exchange_state::unknown ? "unknown" : outcome.reply.error().kind();
        object["message"] = outcome_text(destination, outcome);
    }
    return object;
}

int print_outcome(const target& destination, const operator_outcome& outcome,
                  const std::string& success_text)
{
    const int code = exit_code(outcome);
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json::serialize(outcome_json(destination, outcome)) << '\n';
    }
    else if (code == exit_success) {
        std::cout << success_text << '\n';
    }
    return code == exit_success ? code : print_error(code, outcome_text(destination, outcome));
}

int submit_change(const target& destination, const pb::command& body,
                  const std::string& success_text)
{
    pb::operator_request request;
    *request.mutable_change() = body;
    return print_outcome(destination, send_to_control(destination, request), success_text);
}

json::object parse_object(const std::string& text)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(text, code);
    return !code && parsed.is_object() ? parsed.as_object() : json::object();
}

std::uint64_t number_field(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    boost::system::error_code code;
    return found == nullptr ? 0 : found->to_number<std::uint64_t>(code);
}

std::string text_field(const json::object& object, std::string_view name)
{
    const json::value* found = object.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(std::string_view(found->as_string()))
               : std::string();
}

} // namespace primrosehead::ctl
