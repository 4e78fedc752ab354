#include "ctl_cell.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <array>
#include <iostream>

ABSL_DECLARE_FLAG(std::vector<std::string>, entry);

namespace primrosehead::ctl {

namespace json = boost::json;

namespace {

pb::operator_request status_request()
{
    pb::operator_request request;
    request.set_status(true);
    return request;
}

// Returns the leader's status, or that of the control instance that replied if the leader is
// unknown or does not reply.
operator_outcome fetch_status(const target& destination)
{
    operator_outcome first = send_request(destination, destination.control, status_request(),
                                          destination.request_id + "-status");
    const std::string leader = first.reply.leader_hint();
    if (first.state != exchange_state::answered || !first.reply.not_leader() || leader.empty()) {
        return first;
    }
    const std::array endpoints{leader};
    operator_outcome second = send_request(destination, endpoints, status_request(),
                                           destination.request_id + "-leader-status");
    return second.state == exchange_state::answered ? second : first;
}

} // namespace

int print_cell_status(const target& destination)
{
    const operator_outcome outcome = fetch_status(destination);
    if (exit_code(outcome) != exit_success) {
        return print_error(exit_unknown,
                           "No control instance replied. Check --control and --cell.");
    }
    if (outcome.reply.not_leader()) {
        (void)print_error(exit_success,
                          "No control instance is the leader; this status may be stale.");
    }
    std::cout << outcome.reply.text() << '\n';
    return exit_success;
}

std::vector<std::string> entry_endpoints(const target& destination, std::string_view instance)
{
    std::vector<std::string> flag_endpoints = absl::GetFlag(FLAGS_entry);
    if (!flag_endpoints.empty()) {
        return flag_endpoints;
    }
    const json::object status = parse_object(fetch_status(destination).reply.text());
    const json::value* fleet = status.if_contains("fleet");
    const json::value* instances = fleet != nullptr && fleet->is_object()
                                       ? fleet->as_object().if_contains("instances")
                                       : nullptr;
    if (instances == nullptr || !instances->is_object()) {
        return {};
    }
    std::vector<std::string> found;
    for (const auto& entry : instances->as_object()) {
        const std::string_view name(entry.key());
        if (entry.value().is_object() && (instance.empty() || name == instance)) {
            const std::string endpoint = text_field(entry.value().as_object(), "endpoint");
            found.push_back(endpoint);
        }
    }
    std::erase(found, std::string());
    return found;
}

int drain(const target& destination, std::string_view instance)
{
    const std::vector<std::string> endpoints = entry_endpoints(destination, instance);
    if (endpoints.size() > 1) {
        return print_error(exit_usage,
                           "drain requires exactly one --entry ENDPOINT, that of the instance.");
    }
    if (endpoints.empty()) {
        return print_error(exit_refused, "No live instance " + std::string(instance) +
                                             ". See primrosectl status, or give --entry ENDPOINT.");
    }
    pb::operator_request request;
    request.set_drain_instance(std::string(instance));
    return print_outcome(destination,
                         send_request(destination, endpoints, request, destination.request_id),
                         std::string(instance) + " is draining and accepts no new requests.");
}

int add_member(const target& destination, arguments member_arguments)
{
    pb::operator_request request;
    pb::member& added = *request.mutable_add_member();
    added.set_instance(std::string(member_arguments[0]));
    added.set_disk_id(std::string(member_arguments[1]));
    added.set_endpoint(std::string(member_arguments[2]));
    return print_outcome(destination, send_to_control(destination, request),
                         added.instance() +
                             " is a member; it votes once it has caught up with the leader.");
}

int remove_member(const target& destination, std::string_view instance)
{
    pb::operator_request request;
    request.set_remove_member(std::string(instance));
    return print_outcome(destination, send_to_control(destination, request),
                         std::string(instance) + " is no longer a member.");
}

} // namespace primrosehead::ctl
