// Parsing of callers' requests and servers' announcements. Arbitrary bytes must give a typed error.
#include "entry_announcements.h"
#include "entry_request.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>

using namespace primrosehead;

namespace {

constexpr std::string_view statement_text =
    R"({"database":"kura-1","route":"kura-1.look-up","statement":{"get":"bay-7"},)"
    R"("max_age_ms":500,"timeout_ms":800})";

// Returns `text` with a few bytes replaced, removed or duplicated.
std::string mutated(std::string_view text, std::mt19937& random)
{
    std::string changed(text);
    const auto count = random() % 6;
    for (unsigned i = 0; i < count && !changed.empty(); ++i) {
        const std::size_t offset = random() % changed.size();
        switch (random() % 3) {
        case 0:
            changed[offset] = static_cast<char>(random());
            break;
        case 1:
            changed.erase(offset, 1 + random() % 8);
            break;
        default:
            changed.insert(offset, changed.substr(offset, 1 + random() % 8));
        }
    }
    return changed;
}

} // namespace

TEST_CASE("request: all members of a statement are parsed")
{
    const auto parsed = parse_caller_request(statement_text, body_kind::statement);
    REQUIRE(ok(parsed));
    CHECK(value(parsed).database.text() == "kura-1");
    CHECK(value(parsed).route.text() == "kura-1.look-up");
    CHECK(value(parsed).statement == R"({"get":"bay-7"})");
    CHECK(value(parsed).max_age == clock::duration(500));
    CHECK(value(parsed).timeout == clock::duration(800));
}

TEST_CASE("request: invalid members give a bad_request with a remedy")
{
    constexpr std::array bad{R"({"route":"r","statement":{}})",
                             R"({"database":7,"route":"r","statement":{}})",
                             R"({"database":"d","route":"r","statement":"text"})",
                             R"({"database":"d","route":"r","statement":{},"timeout_ms":-1})",
                             R"({"database":"d","route":"r","statement":{},"timeout_ms":60001})",
                             R"({"database":"d","route":"r","statement":{},"extra":1})",
                             "[]",
                             "{"};
    for (const char* const text : bad) {
        const auto parsed = parse_caller_request(text, body_kind::statement);
        REQUIRE(!ok(parsed));
        CHECK(failure(parsed).kind == error_kind::bad_request);
        CHECK(!failure(parsed).message.empty());
        CHECK(!failure(parsed).remedy.empty());
    }
    CHECK(
        !ok(parse_caller_request(R"({"database":"d","route":"r","mode":"x"})", body_kind::begin)));
    CHECK(ok(parse_caller_request("", body_kind::end)));
}

TEST_CASE("request: targets are parsed")
{
    CHECK(parse_target("/v1/statements").kind == call_kind::statement);
    CHECK(parse_target("/v1/transactions").kind == call_kind::begin);
    const call_target commit = parse_target("/v1/transactions/t1.a.b/commit");
    CHECK(commit.kind == call_kind::commit);
    CHECK(commit.transaction == "t1.a.b");
    for (const std::string_view unknown_target :
         {"", "/", "/v1/transactions/", "/v1/transactions//commit", "/v1/transactions/x/unknown",
          "/v2/statements"}) {
        CHECK(parse_target(unknown_target).kind == call_kind::unknown);
    }
}

TEST_CASE("request: mutated input gives a request or a typed error")
{
    std::mt19937 random(20'261'204);
    int parsed_count = 0;
    for (int i = 0; i < 20'000; ++i) {
        const std::string text = mutated(statement_text, random);
        const auto parsed = parse_caller_request(text, body_kind::statement);
        parsed_count += ok(parsed) ? 1 : 0;
        if (!ok(parsed)) {
            CHECK(failure(parsed).kind == error_kind::bad_request);
        }
        (void)parse_announcement(text);
        (void)parse_target(text);
    }
    CHECK(parsed_count > 0);
}
