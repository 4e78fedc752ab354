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

// Events this long before and after an answer may have influenced it.
constexpr std::int64_t context_window_ms = 5'000;
// An instance without contact to the leader for longer admits requests from its own share alone.
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
    boost::system::error_code parse_error;
    json::value parsed = json::parse(std::string_view(line).substr(begin), parse_error);
    if (parse_error || !parsed.is_object()) {
        return std::nullopt;
    }
    return event{std::move(parsed.get_object()), line.substr(begin)};
}

bool is_of_request(const event& candidate, std::string_view request_id)
{
    return !request_id.empty() && string_field(candidate.fields, "id") == request_id;
}

// Returns the last line that records the outcome of the request, or null.
const event* find_answer(std::span<const event> events, std::string_view request_id)
{
    const event* answer = nullptr;
    for (const event& candidate : events) {
        if (is_of_request(candidate, request_id) &&
            string_field(candidate.fields, "part") == "statement") {
            answer = &candidate;
        }
    }
    return answer;
}

// True for state changes near `answer` in time that concern its instance, group or server.
bool is_related(const event& candidate, const event& answer)
{
    const std::int64_t time_difference_ms =
        integer_field(candidate.fields, "time_ms") - integer_field(answer.fields, "time_ms");
    const std::string_view part = string_field(candidate.fields, "part");
    if (std::abs(time_difference_ms) > context_window_ms || part == "statement" ||
        part == "route" || part == "session") {
        return false;
    }
    const auto is_same = [&](std::string_view name) {
        const std::string_view expected = string_field(answer.fields, name);
        return !expected.empty() && string_field(candidate.fields, name) == expected;
    };
    if (part == "promotion" || part == "directory") {
        return is_same("group");
    }
    if (part == "cell") {
        return string_field(candidate.fields, "event") != "document"; // leader changes
    }
    // At the server's home, only what concerns the server or the instance itself.
    const std::string_view home = string_field(answer.fields, "home");
    const bool is_at_home = !home.empty() && home != string_field(answer.fields, "process") &&
                            string_field(candidate.fields, "process") == home;
    if (is_at_home) {
        return part == "process" || is_same("server");
    }
    return is_same("process") && (part != "pool" || is_same("group") || is_same("server"));
}

std::string diagnose_rate(const json::object& answer)
{
    const std::int64_t leader_age_ms = integer_field(answer, "leader_heard_ms_ago");
    const std::string limit =
        fmt::format("organisation {} (rate {} a second, share of this instance {} ppm)",
                    string_field(answer, "organisation"), integer_field(answer, "rate"),
                    integer_field(answer, "share_ppm"));
    return leader_age_ms > leader_lost_after_ms
               ? fmt::format(
                     "The instance has had no contact with the control leader for {} ms and "
                     "admits only its share of {}: look for `control leader_lost`.",
                     leader_age_ms, limit)
               : fmt::format("The fleet has used up the rate of {}: the leader, last heard {} ms "
                             "ago, had no token.",
                             limit, leader_age_ms);
}

std::string diagnose_server(const json::object& answer, std::string_view cause)
{
    const std::string server_state =
        fmt::format("group {}, primary {} (failing for {} ms), {} operations waiting, {} servers "
                    "avoided",
                    string_field(answer, "group"), string_field(answer, "primary"),
                    integer_field(answer, "primary_failing_ms"), integer_field(answer, "waiting"),
                    integer_field(answer, "servers_avoided"));
    if (cause == "no_primary") {
        return "No primary could be reached: " + server_state +
               ". A `promotion` line indicates a failover.";
    }
    if (cause == "no_server") {
        return "No server could run the statement: " + server_state + ".";
    }
    if (cause == "server_silent") {
        return fmt::format("Server {} did not answer or its connection broke: {}.",
                           string_field(answer, "server"), server_state);
    }
    return fmt::format(
        "The servers are saturated: {}; the statement waited {} ms for a connection.", server_state,
        integer_field(answer, "connection_ms"));
}

std::string diagnose(const json::object& answer)
{
    const std::string_view cause = string_field(answer, "cause");
    std::string outcome =
        fmt::format("{} after {} ms at {}, attempts: {}. ", string_field(answer, "event"),
                    integer_field(answer, "took_ms"), string_field(answer, "process"),
                    integer_field(answer, "attempts"));
    const std::string_view home = string_field(answer, "home");
    if (!home.empty()) {
        outcome += fmt::format("It was passed to {}, the home of server {}. ", home,
                               string_field(answer, "server"));
    }
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
        return outcome + fmt::format("The cause lies in the request itself: {}.",
                                     string_field(answer, "reason"));
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
    for (const event& candidate : events) {
        const bool of_request = is_of_request(candidate, request_id);
        if (of_request || (answer != nullptr && is_related(candidate, *answer))) {
            trace.lines.push_back({integer_field(candidate.fields, "time_ms"),
                                   std::string(string_field(candidate.fields, "process")),
                                   candidate.text, of_request});
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
