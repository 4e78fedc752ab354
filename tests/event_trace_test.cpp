// The walks of docs/OPERATIONS.md: a failure is planted, the request fails, and the log alone leads
// from its id to the cause.
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

constexpr clock::duration enough{200};

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
    return std::any_of(trace.lines.begin(), trace.lines.end(), [&](const trace_line& each) {
        return each.text.find(event) != std::string::npos;
    });
}

} // namespace

TEST_CASE("walk: refused below the organisation's rate of the document")
{
    pooler_fixture instance;
    instance.confirm(1); // a burst of one operation
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN q1 GET a\r\nRUN q2 GET a\r\n", enough);
    CHECK(answers.find("FAIL TOOMANY") != std::string::npos);
    const event_trace trace = trace_request("q2", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("refused after") == 0);
    CHECK(trace.diagnosis.find("rate of organisation org (rate 1 a second") != std::string::npos);
}

TEST_CASE("walk: a write whose server broke off")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.drop_write_answers();
    const std::string answers = instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\n", enough);
    CHECK(answers.find("FAIL UNKNOWN") != std::string::npos);
    const event_trace trace = trace_request("w1", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("unknown after") == 0);
    CHECK(trace.diagnosis.find("Server server-1 did not answer") != std::string::npos);
    CHECK(has_event(trace, "\"event\":\"server_avoided\""));
}

TEST_CASE("walk: a read in a domain that is cut off from control")
{
    pooler_fixture instance{clock::duration(200)}; // of which seven tenths may pass unconfirmed
    instance.confirm(100);
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN r1 GET a\r\n", enough, "RUN r2 GET a\r\n");
    CHECK(answers.find("FAIL BUSY") != std::string::npos);
    const event_trace trace = trace_request("r2", split_lines(instance.events));
    CAPTURE(trace.diagnosis);
    CHECK(trace.diagnosis.find("cut off from control: its document 1") != std::string::npos);
}

TEST_CASE("event story: lines of other requests, other times and other groups are left out")
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
