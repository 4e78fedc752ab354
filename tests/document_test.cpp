#include "document.h"
#include "document_codec.h"
#include "document_format.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

document_content valid_content()
{
    document_content content;
    content.version = 7;
    document_group group;
    group.name = "kura";
    content.groups.push_back(group);
    document_route route;
    route.name = "r1";
    route.database = "bay";
    route.path_prefix = "/";
    route.group = "kura";
    content.routes.push_back(route);
    content.organisations.push_back({"kushida", {"k1", "k2"}, 10, 5});
    return content;
}

error_kind failure_kind(document_content content)
{
    const auto created = document::make(std::move(content));
    REQUIRE(!ok(created));
    return failure(created).kind;
}

const std::string valid_text =
    R"({"version":7,"routes":[{"name":"r-8","host":"xapu","path_prefix":"/","type":"bounded_staleness",
    "timeout_ms":2000,"target_latency_ms":600,"priority":2,"service":"s1","max_staleness_ms":1500,
    "public":false}],"services":[{"name":"s1","max_connections":21,"sync_replicas":1}],
    "limits":{"tx_idle_ms":2500},
    "tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":125,"burst":100}],"later_field":[1]})";

} // namespace

TEST_CASE("document: routes, groups and keys are found")
{
    const auto created = document::make(valid_content());
    REQUIRE(ok(created));
    CHECK(value(created)->route("bay")->group == "kura");
    CHECK(value(created)->route("nobody") == nullptr);
    CHECK(value(created)->organisation_for_key("k2")->name == "kushida");
    CHECK(value(created)->organisation_for_key("k3") == nullptr);
    CHECK(value(created)->group("kura") != nullptr);
}

TEST_CASE("document: inconsistent documents are rejected")
{
    document_content content = valid_content();
    content.routes.front().group = "nowhere";
    CHECK(failure_kind(content) == error_kind::bad_request);
    content = valid_content();
    content.routes.push_back(content.routes.front());
    CHECK(failure_kind(content) == error_kind::bad_request);
    content = valid_content();
    content.routes.front().statement_timeout = clock::duration(0);
    CHECK(failure_kind(content) == error_kind::bad_request);
    content = valid_content();
    content.organisations.push_back({"other", {"k2"}, 1, 1});
    CHECK(failure_kind(content) == error_kind::bad_request);
}

TEST_CASE("document: compression round-trips, and damaged records are rejected")
{
    const std::string text(20'000, 'x');
    pb::published_record record = compress_document("production", 3, text);
    CHECK(record.document().size() < text.size() / 10);
    const auto decompressed = decompress_document(record);
    REQUIRE(ok(decompressed));
    CHECK(value(decompressed) == text);
    record.set_content_hash(record.content_hash() + 1);
    CHECK(!ok(decompress_document(record)));
    record.set_document("no frame");
    CHECK(!ok(decompress_document(record)));
}

TEST_CASE("platform document: known fields are read, unknown fields are ignored")
{
    const auto parsed = platform::parse_document(valid_text);
    REQUIRE(ok(parsed));
    const document& parsed_document = *value(parsed);
    CHECK(parsed_document.version() == 7);
    const document_route* const route = parsed_document.route("xapu");
    REQUIRE(route != nullptr);
    CHECK(route->consistency == route_consistency::bounded_staleness);
    CHECK(route->max_staleness == clock::duration(1'500));
    CHECK(route->statement_timeout == clock::duration(2'000));
    CHECK(parsed_document.group("s1")->connection_limit == 21);
    CHECK(parsed_document.group("s1")->commits_wait_for_replica);
    CHECK(parsed_document.organisation_for_key("k1")->rate == 125);
    CHECK(parsed_document.content().idle_transaction_timeout == clock::duration(2'500));
}

TEST_CASE("platform document: truncated text is rejected, altered text is parsed or rejected")
{
    for (std::size_t size = 0; size < valid_text.size(); ++size) {
        CHECK(!ok(platform::parse_document(std::string_view(valid_text).substr(0, size))));
    }
    for (std::size_t offset = 0; offset < valid_text.size(); ++offset) {
        std::string changed = valid_text;
        changed[offset] = static_cast<char>(changed[offset] ^ 0x15);
        const auto parsed = platform::parse_document(changed);
        CHECK((ok(parsed) || failure(parsed).kind == error_kind::bad_request));
    }
}

TEST_CASE("platform document: very deep nesting is rejected")
{
    for (const std::size_t levels : {33U, 5'000U, 1'000'000U}) {
        const std::string open(levels, '[');
        CHECK(failure(platform::parse_document(open)).kind == error_kind::bad_request);
        std::string text = valid_text;
        text.replace(text.find("[1]"), 3, open + std::string(levels, ']'));
        CHECK(failure(platform::parse_document(text)).kind == error_kind::bad_request);
    }
}

TEST_CASE("platform document: numbers out of range are rejected")
{
    struct odd_number {
        std::string good;
        std::string odd;
    };
    for (const odd_number& each : {
             odd_number{"\"version\":7", "\"version\":-7"},
             odd_number{"\"version\":7", "\"version\":1e400"},
             odd_number{"\"version\":7", "\"version\":18446744073709551615"},
             odd_number{"\"version\":7", "\"version\":18446744073709551616"},
             odd_number{"\"timeout_ms\":2000", "\"timeout_ms\":9223372036854775807"},
             odd_number{"\"timeout_ms\":2000", "\"timeout_ms\":18446744073709551615"},
             odd_number{"\"target_latency_ms\":600", "\"target_latency_ms\":18446744073709551615"},
             odd_number{"\"max_staleness_ms\":1500", "\"max_staleness_ms\":9223372036854775808"},
             odd_number{"\"priority\":2", "\"priority\":4294967296"},
             odd_number{"\"max_connections\":21", "\"max_connections\":4294967296"},
             odd_number{"\"tx_idle_ms\":2500", "\"tx_idle_ms\":18446744073709551615"},
             odd_number{"\"rate_per_s\":125", "\"rate_per_s\":1e400"},
             odd_number{"\"rate_per_s\":125", "\"rate_per_s\":-1"},
             odd_number{"\"burst\":100", "\"burst\":1e300"},
             odd_number{"\"burst\":100", "\"burst\":-1e400"},
         }) {
        CAPTURE(each.odd);
        std::string text = valid_text;
        text.replace(text.find(each.good), each.good.size(), each.odd);
        const auto parsed = platform::parse_document(text);
        CHECK(!ok(parsed));
        if (!ok(parsed)) {
            CHECK(failure(parsed).kind == error_kind::bad_request);
        }
    }
}
