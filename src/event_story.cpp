#include "event_story.h"

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
constexpr std::int64_t context_ms = 5'000;
// An instance that has not heard the leader for longer lives on its share.
constexpr std::int64_t leader_is_lost_ms = 500;

struct event {
    json::object fields;
    std::string text;
};

std::string_view text_of(const json::object& fields, std::string_view name)
{
    const json::value* const found = fields.if_contains(name);
    return found != nullptr && found->is_string() ? std::string_view(found->get_string())
                                                  : std::string_view();
}

std::int64_t number_of(const json::object& fields, std::string_view name)
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

bool is_own(const event& each, std::string_view request_id)
{
    return !request_id.empty() && text_of(each.fields, "id") == request_id;
}

// The last line of the request that tells how it was answered.
const event* answer_of(std::span<const event> events, std::string_view request_id)
{
    const event* answer = nullptr;
    for (const event& each : events) {
        if (is_own(each, request_id) && text_of(each.fields, "part") == "statement") {
            answer = &each;
        }
    }
    return answer;
}

// Changes of what the request's instance, its group or its server were taken for.
bool bears_on(const event& each, const event& answer)
{
    const std::int64_t distance =
        number_of(each.fields, "time_ms") - number_of(answer.fields, "time_ms");
    const std::string_view part = text_of(each.fields, "part");
    if (std::abs(distance) > context_ms || part == "statement" || part == "route" ||
        part == "session") {
        return false;
    }
    const auto is_same = [&](std::string_view name) {
        const std::string_view own = text_of(answer.fields, name);
        return !own.empty() && text_of(each.fields, name) == own;
    };
    if (part == "promotion" || part == "directory") {
        return is_same("group");
    }
    if (part == "cell") {
        return text_of(each.fields, "event") != "document"; // who leads control
    }
    return is_same("process") && (part != "pool" || is_same("group") || is_same("server"));
}

std::string rate_verdict(const json::object& answer)
{
    const std::int64_t heard_ms_ago = number_of(answer, "leader_heard_ms_ago");
    const std::string limit = fmt::format(
        "organisation {} (rate {} a second, share of this instance {} ppm)",
        text_of(answer, "organisation"), number_of(answer, "rate"), number_of(answer, "share_ppm"));
    return heard_ms_ago > leader_is_lost_ms
               ? fmt::format("The instance has not heard the control leader for {} ms and lives on "
                             "its share of {}: look for `control leader_lost`.",
                             heard_ms_ago, limit)
               : fmt::format("The rate of {} is used up over the fleet: the leader, heard {} ms "
                             "ago, had no token.",
                             limit, heard_ms_ago);
}

std::string server_verdict(const json::object& answer, std::string_view cause)
{
    const std::string seen =
        fmt::format("group {}, primary {} (failing for {} ms), {} operations waiting, {} servers "
                    "avoided",
                    text_of(answer, "group"), text_of(answer, "primary"),
                    number_of(answer, "primary_failing_ms"), number_of(answer, "waiting"),
                    number_of(answer, "servers_avoided"));
    if (cause == "no_primary") {
        return "No primary could be reached: " + seen + ". A `promotion` line tells of a failover.";
    }
    if (cause == "no_server") {
        return "No server could serve it: " + seen + ".";
    }
    if (cause == "server_silent") {
        return fmt::format("Server {} did not answer or the connection to it broke: {}.",
                           text_of(answer, "server"), seen);
    }
    return fmt::format("The servers were asked for more than they run: {}; it waited {} ms.", seen,
                       number_of(answer, "connection_ms"));
}

std::string verdict_of(const json::object& answer)
{
    const std::string_view cause = text_of(answer, "cause");
    const std::string outcome = fmt::format(
        "{} after {} ms at {}, tries: {}. ", text_of(answer, "event"), number_of(answer, "took_ms"),
        text_of(answer, "process"), number_of(answer, "attempts"));
    if (cause.empty()) {
        return outcome;
    }
    if (cause == "rate") {
        return outcome + rate_verdict(answer);
    }
    if (cause == "unconfirmed") {
        return outcome + fmt::format("The instance was cut off from control: its document {} was "
                                     "confirmed {} ms ago.",
                                     number_of(answer, "document"),
                                     number_of(answer, "confirmed_ms_ago"));
    }
    if (cause == "server") {
        return outcome + fmt::format("Server {} answered {}.", text_of(answer, "server"),
                                     text_of(answer, "code"));
    }
    if (cause == "key" || cause == "database" || cause == "request" || cause == "transaction") {
        return outcome + fmt::format("The request itself: {}.", text_of(answer, "reason"));
    }
    return outcome + server_verdict(answer, cause);
}

} // namespace

event_story story_of(std::string_view request_id, std::span<const std::string> lines)
{
    std::vector<event> events;
    for (const std::string& line : lines) {
        if (std::optional<event> parsed = parse_event(line)) {
            events.push_back(std::move(*parsed));
        }
    }
    event_story story;
    const event* const answer = answer_of(events, request_id);
    for (const event& each : events) {
        const bool own = is_own(each, request_id);
        if (own || (answer != nullptr && bears_on(each, *answer))) {
            story.lines.push_back({number_of(each.fields, "time_ms"),
                                   std::string(text_of(each.fields, "process")), each.text, own});
        }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(),
                     [](const story_line& left, const story_line& right) {
                         return left.time_ms < right.time_ms;
                     });
    if (answer != nullptr) {
        story.verdict = verdict_of(answer->fields);
    }
    return story;
}

} // namespace primrosehead
