#include "document.h"
#include "document_codec.h"
#include "document_format.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

document_content good_content()
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

error_kind kind_of_failure(document_content content)
{
    const auto made = document::make(std::move(content));
    REQUIRE(!ok(made));
    return failure(made).kind;
}

const std::string good_text =
    R"({"version":7,"routes":[{"name":"r-8","host":"xapu","path_prefix":"/","type":"bounded_staleness",
    "timeout_ms":2000,"target_latency_ms":600,"priority":2,"service":"s1","max_staleness_ms":1500,
    "public":false}],"services":[{"name":"s1","max_connections":21,"sync_replicas":1}],
    "limits":{"tx_idle_ms":2500},
    "tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":125,"burst":100}],"later_field":[1]})";

} // namespace

TEST_CASE("document: routes, groups and keys are found")
{
    const auto made = document::make(good_content());
    REQUIRE(ok(made));
    CHECK(value(made)->route("bay")->group == "kura");
    CHECK(value(made)->route("nobody") == nullptr);
    CHECK(value(made)->organisation_for_key("k2")->name == "kushida");
    CHECK(value(made)->organisation_for_key("k3") == nullptr);
    CHECK(value(made)->group("kura") != nullptr);
}

TEST_CASE("document: one that contradicts itself is refused")
{
    document_content content = good_content();
    content.routes.front().group = "nowhere";
    CHECK(kind_of_failure(content) == error_kind::bad_request);
    content = good_content();
    content.routes.push_back(content.routes.front());
    CHECK(kind_of_failure(content) == error_kind::bad_request);
    content = good_content();
    content.routes.front().statement_timeout = clock::duration(0);
    CHECK(kind_of_failure(content) == error_kind::bad_request);
    content = good_content();
    content.organisations.push_back({"other", {"k2"}, 1, 1});
    CHECK(kind_of_failure(content) == error_kind::bad_request);
}

TEST_CASE("document: packed and unpacked it is the same, damaged it is refused")
{
    const std::string text(20'000, 'x');
    pb::published_record record = compress_document("production", 3, text);
    CHECK(record.document().size() < text.size() / 10);
    const auto unpacked = decompress_document(record);
    REQUIRE(ok(unpacked));
    CHECK(value(unpacked) == text);
    record.set_content_hash(record.content_hash() + 1);
    CHECK(!ok(decompress_document(record)));
    record.set_document("no frame");
    CHECK(!ok(decompress_document(record)));
}

TEST_CASE("platform document: fields are read, unknown ones are passed over")
{
    const auto parsed = platform::parse_document(good_text);
    REQUIRE(ok(parsed));
    const document& made = *value(parsed);
    CHECK(made.version() == 7);
    const document_route* const route = made.route("xapu");
    REQUIRE(route != nullptr);
    CHECK(route->consistency == route_consistency::bounded_staleness);
    CHECK(route->max_staleness == clock::duration(1'500));
    CHECK(route->statement_timeout == clock::duration(2'000));
    CHECK(made.group("s1")->connection_limit == 21);
    CHECK(made.group("s1")->commits_wait_for_replica);
    CHECK(made.organisation_for_key("k1")->rate == 125);
    CHECK(made.content().idle_transaction_timeout == clock::duration(2'500));
}

TEST_CASE("platform document: any cut and any changed byte is read whole or refused")
{
    for (std::size_t size = 0; size < good_text.size(); ++size) {
        CHECK(!ok(platform::parse_document(std::string_view(good_text).substr(0, size))));
    }
    for (std::size_t place = 0; place < good_text.size(); ++place) {
        std::string changed = good_text;
        changed[place] = static_cast<char>(changed[place] ^ 0x15);
        const auto parsed = platform::parse_document(changed);
        CHECK((ok(parsed) || failure(parsed).kind == error_kind::bad_request));
    }
}
