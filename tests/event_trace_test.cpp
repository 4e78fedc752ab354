// Follows the procedures of docs/OPERATIONS.md: after an injected failure the log alone must lead
// from the id of the failed request to the cause.
#include "event_trace.h"
#include "pooler_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration exchange_time{200};

std::vector<std::string> split_lines(const event_log& log)
{
    std::istringstream all(log.buffered());
    std::vector<std::string> lines;
    for (std::string line; std::getline(all, line);) {
        lines.push_back(line);
    }
    return lines;
}

bool has_event(const event_trace& trace, std::string_view event)
{
    return std::any_of(trace.lines.begin(), trace.lines.end(), [&](const trace_line& line) {
        return line.text.find(event) != std::string::npos;
    });
}

} // namespace

TEST_CASE("trace: a statement refused by the organisation's rate limit")
{
    pooler_fixture instance;
    instance.confirm(1); // a burst of one operation
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN q1 GET a\r\nRUN q2 GET a\r\n", exchange_time);
    CHECK(answers.find("FAIL TOOMANY") != std::string::npos);
    const event_trace trace = trace_request("q2", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("refused after") == 0);
    CHECK(trace.diagnosis.find("rate of organisation org (rate 1 a second") != std::string::npos);
}

TEST_CASE("trace: a write whose server closed the connection")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.drop_write_answers();
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\n", exchange_time);
    CHECK(answers.find("FAIL UNKNOWN") != std::string::npos);
    const event_trace trace = trace_request("w1", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("unknown after") == 0);
    CHECK(trace.diagnosis.find("Server server-1 did not answer") != std::string::npos);
    CHECK(has_event(trace, "\"event\":\"unanswered\""));
    CHECK(!has_event(trace, "\"event\":\"server_avoided\""));
}

TEST_CASE("trace: a read in a failure domain without contact to control")
{
    // The document may go unconfirmed for seven tenths of this revocation bound.
    pooler_fixture instance{clock::duration(200)};
    instance.confirm(100);
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN r1 GET a\r\n", exchange_time, "RUN r2 GET a\r\n");
    CHECK(answers.find("FAIL BUSY") != std::string::npos);
    const event_trace trace = trace_request("r2", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("cut off from control: its document 1") != std::string::npos);
}

TEST_CASE("trace: lines of other requests, times and groups are left out")
{
    const std::vector<std::string> lines{
        R"(12.5 e1 {"time_ms":9000,"process":"e1","part":"statement","id":"a","cause":"no_primary","group":"g"})",
        R"({"time_ms":8000,"process":"c1","part":"promotion","event":"begins","group":"g"})",
        R"({"time_ms":8000,"process":"c1","part":"promotion","event":"begins","group":"h"})",
        R"({"time_ms":1000,"process":"c1","part":"promotion","event":"begins","group":"g"})",
        R"({"time_ms":9000,"process":"e1","part":"statement","event":"refused","id":"b"})",
        "no event at all",
        "{broken"};
    const event_trace trace = trace_request("a", lines);
    REQUIRE(trace.lines.size() == 2);
    CHECK(trace.lines[0].time_ms == 8'000);
    CHECK(!trace.lines[0].is_of_request);
    CHECK(trace.lines[1].is_of_request);
    CHECK(trace.diagnosis.find("No primary could be reached: group g") != std::string::npos);
    CHECK(trace_request("c", lines).diagnosis.empty());
    CHECK(trace_request("", lines).lines.empty());
}

TEST_CASE("trace: a statement passed to a home shows the home's lines about its server")
{
    const std::vector<std::string> lines{
        R"({"time_ms":100,"process":"entry-1","part":"statement","event":"unknown","id":"w1","server":"s1","home":"entry-2","attempts":1,"took_ms":9,"cause":"server_silent"})",
        R"({"time_ms":99,"process":"entry-2","part":"home","event":"not_answered","id":"w1","server":"s1"})",
        R"({"time_ms":98,"process":"entry-2","part":"pool","event":"server_avoided","server":"s1"})",
        R"({"time_ms":97,"process":"entry-2","part":"pool","event":"server_avoided","server":"s2"})",
        R"({"time_ms":96,"process":"entry-3","part":"pool","event":"server_avoided","server":"s1"})"};
    const event_trace trace = trace_request("w1", lines);
    CHECK(trace.lines.size() == 3);
    CHECK(trace.diagnosis.find("passed to entry-2, the home of server s1") != std::string::npos);
}
