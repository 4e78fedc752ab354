#include "event_trace.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <optional>

namespace primrosehead {

namespace json = boost::json;

namespace {

// What happened this long before and after a statement may have decided it.
constexpr std::int64_t context_window_ms = 5'000;
// An instance that has not heard the leader for longer lives on its share.
constexpr std::int64_t leader_lost_after_ms = 500;

struct event {
    json::object fields;
    std::string text;
};

std::string_view string_field(const json::object& fields, std::string_view name)
{
    const json::value* const found = fields.if_contains(name);
    return found != nullptr && found->is_string() ? std::string_view(found->get_string())
                                                  : std::string_view();
}

std::int64_t integer_field(const json::object& fields, std::string_view name)
{
    const json::value* const found = fields.if_contains(name);
    return found != nullptr && found->is_int64() ? found->get_int64() : -1;
}

std::optional<event> parse_event(const std::string& line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code failed;
    json::value parsed = json::parse(std::string_view(line).substr(begin), failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    return event{std::move(parsed.get_object()), line.substr(begin)};
}

bool is_of_request(const event& each, std::string_view request_id)
{
    return !request_id.empty() && string_field(each.fields, "id") == request_id;
}

// The last line of the request that tells how it was answered.
const event* find_answer(std::span<const event> events, std::string_view request_id)
{
    const event* answer = nullptr;
    for (const event& each : events) {
        if (is_of_request(each, request_id) && string_field(each.fields, "part") == "statement") {
            answer = &each;
        }
    }
    return answer;
}

// Changes of what the request's instance, its group or its server were taken for.
bool is_related(const event& each, const event& answer)
{
    const std::int64_t distance =
        integer_field(each.fields, "time_ms") - integer_field(answer.fields, "time_ms");
    const std::string_view part = string_field(each.fields, "part");
    if (std::abs(distance) > context_window_ms || part == "statement" || part == "route" ||
        part == "session") {
        return false;
    }
    const auto is_same = [&](std::string_view name) {
        const std::string_view own = string_field(answer.fields, name);
        return !own.empty() && string_field(each.fields, name) == own;
    };
    if (part == "promotion" || part == "directory") {
        return is_same("group");
    }
    if (part == "cell") {
        return string_field(each.fields, "event") != "document"; // who leads control
    }
    return is_same("process") && (part != "pool" || is_same("group") || is_same("server"));
}

std::string diagnose_rate(const json::object& answer)
{
    const std::int64_t leader_age_ms = integer_field(answer, "leader_heard_ms_ago");
    const std::string limit = fmt::format(
        "organisation {} (rate {} a second, share of this instance {} ppm)",
        string_field(answer, "organisation"), integer_field(answer, "rate"), integer_field(answer, "share_ppm"));
    return leader_age_ms > leader_lost_after_ms
               ? fmt::format("The instance has not heard the control leader for {} ms and lives on "
                             "its share of {}: look for `control leader_lost`.",
                             leader_age_ms, limit)
               : fmt::format("The rate of {} is used up over the fleet: the leader, heard {} ms "
                             "ago, had no token.",
                             limit, leader_age_ms);
}

std::string diagnose_server(const json::object& answer, std::string_view cause)
{
    const std::string seen =
        fmt::format("group {}, primary {} (failing for {} ms), {} operations waiting, {} servers "
                    "avoided",
                    string_field(answer, "group"), string_field(answer, "primary"),
                    integer_field(answer, "primary_failing_ms"), integer_field(answer, "waiting"),
                    integer_field(answer, "servers_avoided"));
    if (cause == "no_primary") {
        return "No primary could be reached: " + seen + ". A `promotion` line tells of a failover.";
    }
    if (cause == "no_server") {
        return "No server could serve it: " + seen + ".";
    }
    if (cause == "server_silent") {
        return fmt::format("Server {} did not answer or the connection to it broke: {}.",
                           string_field(answer, "server"), seen);
    }
    return fmt::format("The servers were asked for more than they run: {}; it waited {} ms.", seen,
                       integer_field(answer, "connection_ms"));
}

std::string diagnose(const json::object& answer)
{
    const std::string_view cause = string_field(answer, "cause");
    const std::string outcome = fmt::format(
        "{} after {} ms at {}, tries: {}. ", string_field(answer, "event"), integer_field(answer, "took_ms"),
        string_field(answer, "process"), integer_field(answer, "attempts"));
    if (cause.empty()) {
        return outcome;
    }
    if (cause == "rate") {
        return outcome + diagnose_rate(answer);
    }
    if (cause == "unconfirmed") {
        return outcome + fmt::format("The instance was cut off from control: its document {} was "
                                     "confirmed {} ms ago.",
                                     integer_field(answer, "document"),
                                     integer_field(answer, "confirmed_ms_ago"));
    }
    if (cause == "server") {
        return outcome + fmt::format("Server {} answered {}.", string_field(answer, "server"),
                                     string_field(answer, "code"));
    }
    if (cause == "key" || cause == "database" || cause == "request" || cause == "transaction") {
        return outcome + fmt::format("The request itself: {}.", string_field(answer, "reason"));
    }
    return outcome + diagnose_server(answer, cause);
}

} // namespace

event_trace trace_request(std::string_view request_id, std::span<const std::string> lines)
{
    std::vector<event> events;
    for (const std::string& line : lines) {
        if (std::optional<event> parsed = parse_event(line)) {
            events.push_back(std::move(*parsed));
        }
    }
    event_trace trace;
    const event* const answer = find_answer(events, request_id);
    for (const event& each : events) {
        const bool own = is_of_request(each, request_id);
        if (own || (answer != nullptr && is_related(each, *answer))) {
            trace.lines.push_back({integer_field(each.fields, "time_ms"),
                                   std::string(string_field(each.fields, "process")), each.text, own});
        }
    }
    std::stable_sort(trace.lines.begin(), trace.lines.end(),
                     [](const trace_line& left, const trace_line& right) {
                         return left.time_ms < right.time_ms;
                     });
    if (answer != nullptr) {
        trace.diagnosis = diagnose(answer->fields);
    }
    return trace;
}

} // namespace primrosehead
