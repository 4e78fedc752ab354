#include "corpus.h"

#include <primrosehead/config.h>
#include <primrosehead/environment.h>

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

constexpr std::string_view whole_document = R"({
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

TEST_CASE("environment: every field of a document is read")
{
    const auto parsed = parse_environment(whole_document);
    REQUIRE(ok(parsed));
    const environment& read = value(parsed);
    REQUIRE(read.databases.size() == 2);
    CHECK(read.databases[0].durability == durability::replica);
    CHECK(read.databases[1].durability == durability::primary);
    const route_settings* reserve = read.find(route_name("reserve"));
    REQUIRE(reserve != nullptr);
    CHECK(reserve->access == access::write);
    CHECK(reserve->timeout == clock::duration(1'500));
    CHECK(reserve->organisations == std::vector{organisation_name("shrines")});
    const route_settings* find = read.find(route_name("find"));
    REQUIRE(find != nullptr);
    CHECK(find->access == access::read);
    CHECK(find->max_age == clock::duration(300));
    CHECK(find->repeatable);
    CHECK(find->timeout == clock::duration(2'000));
    CHECK(read.find(route_name("notice"))->open);
    CHECK(read.find(route_name("none")) == nullptr);
    CHECK(read.find(database_name("none")) == nullptr);
    const organisation_settings* shrines = read.find(organisation_name("shrines"));
    REQUIRE(shrines != nullptr);
    CHECK(shrines->rate == 20.5);
    CHECK(shrines->burst == 40);
    CHECK(shrines->weight == 3);
}

TEST_CASE("environment: policies are read, and default when missing")
{
    const auto parsed = parse_environment(whole_document);
    REQUIRE(ok(parsed));
    const policy_settings& policies = value(parsed).policies;
    CHECK(policies.key_bound == clock::duration(4'000));
    CHECK(policies.limits == limit_policy::static_split);
    CHECK(policies.floor_share == 0.5);
    CHECK(policies.choice == choice_policy::round_robin);
    CHECK_FALSE(policies.replica_reads);
    CHECK(policies.retry_share == 0.25);
    CHECK(policies.failure_after == clock::duration(600));

    const auto bare = parse_environment(R"({"databases":[],"routes":[],"organisations":[]})");
    REQUIRE(ok(bare));
    CHECK(value(bare).policies.key_bound == policy_settings{}.key_bound);
    CHECK(value(bare).policies.limits == limit_policy::leased);
}

TEST_CASE("environment: a bad document is refused with its JSON path and a remedy")
{
    const auto corpus = test::read_corpus("bad_environments.txt");
    REQUIRE(corpus.size() > 30);
    for (const test::corpus_entry& entry : corpus) {
        CAPTURE(entry.description);
        const auto parsed = parse_environment(entry.text);
        REQUIRE_FALSE(ok(parsed));
        const error& refused = failure(parsed);
        CAPTURE(refused.message);
        CHECK(refused.kind == error_kind::bad_settings);
        CHECK(refused.message.starts_with(entry.path + ": expected "));
        CHECK(refused.message.find(", found ") != std::string::npos);
        CHECK_FALSE(refused.remedy.empty());
    }
}

TEST_CASE("environment: an oversized document is refused unread")
{
    const std::string oversized(config::max_document_bytes + 1, ' ');
    const auto parsed = parse_environment(oversized);
    REQUIRE_FALSE(ok(parsed));
    CHECK(failure(parsed).kind == error_kind::bad_settings);
}

TEST_CASE("environment: cutting or flipping any byte gives a typed error or a valid document")
{
    const std::string whole(whole_document);
    for (std::size_t at = 0; at < whole.size(); ++at) {
        const auto cut = parse_environment(std::string_view(whole).substr(0, at));
        CHECK_FALSE(ok(cut));
        std::string flipped = whole;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x15);
        const auto parsed = parse_environment(flipped);
        if (!ok(parsed)) {
            CHECK(failure(parsed).kind == error_kind::bad_settings);
        }
    }
}
