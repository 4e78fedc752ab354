// Parsing of announcements into the server reports of heartbeats.
#include "entry_announcements.h"

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

const std::string announcement =
    R"({"server":"kura-1-a","database":"kura-1","failure_domain":"fukuoka",)"
    R"("url":"http://127.0.0.1:1","role":"primary","applied":{"term":4,"index":9},)"
    R"("received":{"term":4,"index":11},"term":5,"data_age_ms":7,"slots":3,)"
    R"("connection_limit":20,"leaving":false})";

std::string remove_text(const std::string& text, const std::string& part)
{
    std::string shortened = text;
    shortened.replace(shortened.find(part), part.size(), "");
    return shortened;
}

} // namespace

TEST_CASE("announcement: all members are parsed, including the promised term")
{
    const result<pb::server_report> report = parse_announcement(announcement);
    REQUIRE(ok(report));
    CHECK(value(report).server() == "kura-1-a");
    CHECK(value(report).term() == 5);
    CHECK(value(report).received().index() == 11);
    CHECK(value(report).connection_limit() == 20);
}

TEST_CASE("announcement: the error names a missing member")
{
    const result<pb::server_report> report =
        parse_announcement(remove_text(announcement, R"("term":5,)"));
    REQUIRE(!ok(report));
    CHECK(failure(report).kind == error_kind::bad_request);
    CHECK(failure(report).message.find("\"term\"") != std::string::npos);
    CHECK(!ok(parse_announcement("")));
    CHECK(!ok(parse_announcement("[]")));
    CHECK(!ok(parse_announcement(R"({"server":7})")));
}
