#include "document_audit.h"
#include "document_check.h"
#include "document_format.h"

#include <primrosehead/config.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace primrosehead;

namespace {

const std::string clean_text =
    R"({"version":7,"routes":[
      {"name":"r1","host":"xapu","path_prefix":"/","type":"bounded_staleness","timeout_ms":2000,
       "target_latency_ms":600,"priority":2,"service":"s1","max_staleness_ms":1500},
      {"name":"r2","host":"bay","type":"primary","timeout_ms":1000,"target_latency_ms":200,
       "service":"s1"}],
     "services":[{"name":"s1","max_connections":21}],
     "tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":125,"burst":100}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t found = text.find(from);
    REQUIRE(found != std::string::npos);
    return text.replace(found, from.size(), to);
}

std::vector<document_finding> findings_of(const std::string& text, std::uint32_t instances = 1)
{
    const auto draft = platform::read_draft(text);
    REQUIRE(ok(draft));
    return check_document(value(draft), {.instances = instances});
}

// The findings as "kind place".
std::vector<std::string> summary(const std::string& text, std::uint32_t instances = 1)
{
    std::vector<std::string> lines;
    for (const document_finding& each : findings_of(text, instances)) {
        lines.push_back(std::string(to_string(each.kind)) + " " + each.place);
    }
    return lines;
}

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("document check: a clean document has no findings")
{
    CHECK(summary(clean_text).empty());
    CHECK(summary(clean_text, 21).empty());
}

// Guards against operators learning of one mistake after the other: all are told, with their place.
TEST_CASE("document check: every unreadable entry is told, with its place")
{
    const std::string text =
        R"({"version":7,"routes":[{"name":"r1"},7,{"name":"r2","host":"bay","type":"primary",
            "timeout_ms":1000,"service":"s1"}],"services":{},"tenants":[{"api_keys":[]}]})";
    CHECK(summary(text) == lines{"invalid $.routes[0]", "invalid $.routes[1]", "invalid $.services",
                                 "invalid $.tenants[0]", "invalid $.routes[r2].service"});
}

TEST_CASE("document check: entries that can never match")
{
    const std::string same_host =
        replaced(clean_text, R"("host":"bay")", R"("host":"xapu","path_prefix":"/later")");
    CHECK(summary(same_host) == lines{"never_matches $.routes[r2].host"});
    const std::string same_prefix =
        replaced(clean_text, R"("host":"bay")", R"("host":"xapu","path_prefix":"/")");
    CHECK(summary(same_prefix) == lines{"invalid $.routes[r2].path_prefix"});
    CHECK(summary(replaced(clean_text, R"(["k1"])", "[]")) ==
          lines{"never_matches $.tenants[t1].api_keys"});
    CHECK(summary(replaced(clean_text, R"(["k1"])", R"(["k1","k1"])")) ==
          lines{"never_matches $.tenants[t1].api_keys"});
    std::string all_public = replaced(clean_text, R"("name":"r1")", R"("name":"r1","public":true)");
    all_public = replaced(all_public, R"("name":"r2")", R"("name":"r2","public":true)");
    CHECK(summary(all_public) == lines{"never_matches $.tenants[t1]"});
    CHECK(summary(replaced(clean_text, R"("services":[)",
                           R"("services":[{"name":"s2","max_connections":9},)")) ==
          lines{"never_matches $.services[s2]"});
}

TEST_CASE("document check: limits that contradict each other")
{
    CHECK(summary(replaced(clean_text, R"("burst":100)", R"("burst":0.5)")) ==
          lines{"contradiction $.tenants[t1].burst"});
    CHECK(summary(replaced(clean_text, R"("rate_per_s":125)", R"("rate_per_s":0)")) ==
          lines{"contradiction $.tenants[t1].rate_per_s"});
    CHECK(summary(replaced(clean_text, R"("timeout_ms":2000)", R"("timeout_ms":599)")) ==
          lines{"contradiction $.routes[r1].timeout_ms"});
    CHECK(summary(replaced(clean_text, R"("max_staleness_ms":1500)", R"("public":false)")) ==
          lines{"contradiction $.routes[r1].max_staleness_ms"});
    CHECK(summary(replaced(clean_text, R"("max_connections":21)", R"("max_connections":0)")) ==
          lines{"contradiction $.services[s1].max_connections"});
    CHECK(summary(clean_text, 22) == lines{"contradiction $.services[s1].max_connections"});
}

// Guards against a key in the output, which terminals and logs keep.
TEST_CASE("document check: a shared key is told without the key")
{
    const std::string text =
        replaced(clean_text, R"("tenants":[)",
                 R"("tenants":[{"name":"t0","api_keys":["k1"],"rate_per_s":1,"burst":1},)");
    const auto findings = findings_of(text);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().place == "$.tenants[t1].api_keys");
    CHECK(findings.front().message.find("k1") == std::string::npos);
}

TEST_CASE("document check: a version that is not above the one in force is told")
{
    const auto in_force = platform::read_draft(clean_text);
    const auto next =
        platform::read_draft(replaced(clean_text, R"("version":7)", R"("version":8)"));
    REQUIRE(ok(in_force));
    REQUIRE(ok(next));
    CHECK(check_succession(value(next), value(in_force)).empty());
    CHECK(check_succession(value(in_force), value(in_force)).size() == 1);
    CHECK(check_succession(value(in_force), value(next)).front().place == "$.version");
}

TEST_CASE("document check: what is no document is a typed error")
{
    const std::string too_large(config::max_published_bytes + 1, ' ');
    for (const std::string& text :
         {std::string(), std::string("[]"), std::string("{"), std::string(R"({"routes":[]})"),
          replaced(clean_text, R"("version":7)", R"("version":"seven")"),
          replaced(clean_text, R"("version":7)", R"("version":0)"), too_large}) {
        const auto draft = platform::read_draft(text);
        REQUIRE(!ok(draft));
        CHECK(failure(draft).kind == error_kind::bad_request);
    }
}

// Guards against a check that passes what the system rejects.
TEST_CASE("document check: whatever the system rejects has a finding")
{
    for (std::size_t offset = 0; offset < clean_text.size(); ++offset) {
        for (const char mask : {'\x15', '\x01', '\x20'}) {
            std::string changed = clean_text;
            changed[offset] = static_cast<char>(changed[offset] ^ mask);
            const auto draft = platform::read_draft(changed);
            const bool is_rejected = !ok(platform::parse_document(changed));
            const bool is_told = !ok(draft) || !check_document(value(draft), {}).empty();
            CAPTURE(changed);
            CHECK((!is_rejected || is_told));
        }
    }
}
