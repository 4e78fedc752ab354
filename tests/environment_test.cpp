#include "corpus.h"

#include <primrosehead/config.h>
#include <primrosehead/environment.h>

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

constexpr std::string_view full_document = R"({
  "databases": [{"name": "ledger-1"}, {"name": "cache", "durability": "primary"}],
  "routes": [
    {"name": "reserve", "database": "ledger-1", "access": "write", "timeout_ms": 1500,
     "organisations": ["shrines"]},
    {"name": "find", "database": "ledger-1", "access": "read", "max_age_ms": 300,
     "repeatable": true},
    {"name": "notice", "database": "cache", "access": "read", "open": true}
  ],
  "organisations": [{"name": "shrines", "rate": 20.5, "burst": 40, "weight": 3}],
  "policies": {"key_bound_ms": 4000, "limits": "static_split", "floor_share": 0.5,
               "choice": "round_robin", "replica_reads": false, "retry_share": 0.25,
               "failure_after_ms": 600}
})";

} // namespace

TEST_CASE("environment: all fields of a document are parsed")
{
    const auto parsed = parse_environment(full_document);
    REQUIRE(ok(parsed));
    const environment& parsed_environment = value(parsed);
    REQUIRE(parsed_environment.databases.size() == 2);
    CHECK(parsed_environment.databases[0].durability == durability::replica);
    CHECK(parsed_environment.databases[1].durability == durability::primary);
    const route_settings* reserve = parsed_environment.find(route_name("reserve"));
    REQUIRE(reserve != nullptr);
    CHECK(reserve->access == access::write);
    CHECK(reserve->timeout == clock::duration(1'500));
    CHECK(reserve->organisations == std::vector{organisation_name("shrines")});
    const route_settings* find = parsed_environment.find(route_name("find"));
    REQUIRE(find != nullptr);
    CHECK(find->access == access::read);
    CHECK(find->max_age == clock::duration(300));
    CHECK(find->repeatable);
    CHECK(find->timeout == clock::duration(2'000));
    CHECK(parsed_environment.find(route_name("notice"))->open);
    CHECK(parsed_environment.find(route_name("none")) == nullptr);
    CHECK(parsed_environment.find(database_name("none")) == nullptr);
    const organisation_settings* shrines = parsed_environment.find(organisation_name("shrines"));
    REQUIRE(shrines != nullptr);
    CHECK(shrines->rate == 20.5);
    CHECK(shrines->burst == 40);
    CHECK(shrines->weight == 3);
}

TEST_CASE("environment: policies are parsed, and default if missing")
{
    const auto parsed = parse_environment(full_document);
    REQUIRE(ok(parsed));
    const policy_settings& policies = value(parsed).policies;
    CHECK(policies.key_bound == clock::duration(4'000));
    CHECK(policies.limits == limit_policy::static_split);
    CHECK(policies.floor_share == 0.5);
    CHECK(policies.choice == choice_policy::round_robin);
    CHECK_FALSE(policies.replica_reads);
    CHECK(policies.retry_share == 0.25);
    CHECK(policies.failure_after == clock::duration(600));

    const auto minimal = parse_environment(R"({"databases":[],"routes":[],"organisations":[]})");
    REQUIRE(ok(minimal));
    CHECK(value(minimal).policies.key_bound == policy_settings{}.key_bound);
    CHECK(value(minimal).policies.limits == limit_policy::leased);
}

TEST_CASE("environment: an invalid document is rejected with a JSON path and a remedy")
{
    const auto corpus = test::read_corpus("bad_environments.txt");
    REQUIRE(corpus.size() > 30);
    for (const test::corpus_entry& entry : corpus) {
        CAPTURE(entry.description);
        const auto parsed = parse_environment(entry.text);
        REQUIRE_FALSE(ok(parsed));
        const error& rejection = failure(parsed);
        CAPTURE(rejection.message);
        CHECK(rejection.kind == error_kind::bad_settings);
        CHECK(rejection.message.starts_with(entry.path + ": expected "));
        CHECK(rejection.message.find(", found ") != std::string::npos);
        CHECK_FALSE(rejection.remedy.empty());
    }
}

TEST_CASE("environment: an oversized document is rejected before parsing")
{
    const std::string oversized(config::max_document_bytes + 1, ' ');
    const auto parsed = parse_environment(oversized);
    REQUIRE_FALSE(ok(parsed));
    CHECK(failure(parsed).kind == error_kind::bad_settings);
}

TEST_CASE(
    "environment: truncation or corruption at any byte gives a typed error or a valid document")
{
    const std::string document(full_document);
    for (std::size_t offset = 0; offset < document.size(); ++offset) {
        const auto truncated = parse_environment(std::string_view(document).substr(0, offset));
        CHECK_FALSE(ok(truncated));
        std::string flipped = document;
        flipped[offset] = static_cast<char>(flipped[offset] ^ 0x15);
        const auto parsed = parse_environment(flipped);
        if (!ok(parsed)) {
            CHECK(failure(parsed).kind == error_kind::bad_settings);
        }
    }
}
