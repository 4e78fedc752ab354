#include "corpus.h"

#include <primrosehead/settings.h>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;

namespace {

constexpr std::string_view entry_text = R"({
  "cell": "kyushu", "instance": "entry-1", "failure_domain": "fukuoka", "environment": "kura",
  "listen": "127.0.0.1:7000", "announce_listen": "127.0.0.1:7001",
  "bus_endpoint": "tcp://127.0.0.1:7002",
  "control": [{"name": "control-1", "endpoint": "tcp://127.0.0.1:7100"}],
  "session_secret": "0123456789abcdef0123456789abcdef"
})";

constexpr std::string_view control_text = R"({
  "cell": "kyushu", "instance": "control-1", "failure_domain": "fukuoka", "environment": "kura",
  "bus_endpoint": "tcp://127.0.0.1:7100", "data_folder": "/tmp/control-1",
  "control": [{"name": "control-1", "endpoint": "tcp://127.0.0.1:7100"},
              {"name": "control-2", "endpoint": "tcp://[::1]:7101"}]
})";

// `text` with one field replaced by a JSON value, or removed when `replacement` is empty.
std::string with_field(std::string_view text, std::string_view field, std::string_view replacement)
{
    boost::json::object settings = boost::json::parse(text).as_object();
    settings.erase(field);
    if (!replacement.empty()) {
        settings[field] = boost::json::parse(replacement);
    }
    return boost::json::serialize(settings);
}

// Returns the error message for `control_text` with one field replaced.
std::string control_error_message(std::string_view field, std::string_view replacement)
{
    const auto parsed = parse_control_settings(with_field(control_text, field, replacement));
    REQUIRE_FALSE(ok(parsed));
    CHECK(failure(parsed).kind == error_kind::bad_settings);
    CHECK_FALSE(failure(parsed).remedy.empty());
    return failure(parsed).message;
}

} // namespace

TEST_CASE("settings: an entry instance's file is parsed with its defaults")
{
    const auto parsed = parse_entry_settings(entry_text);
    REQUIRE_MESSAGE(ok(parsed), describe(failure(parsed)));
    const entry_settings& settings = value(parsed);
    CHECK(settings.cell.text() == "kyushu");
    CHECK(settings.control.at(0).endpoint == "tcp://127.0.0.1:7100");
    CHECK(settings.header_timeout == clock::duration(5'000));
    CHECK(settings.threads == 2);
    CHECK_FALSE(settings.tls.has_value());
    CHECK_FALSE(settings.bus_key.has_value());
    CHECK(settings.log.level == "info");
}

TEST_CASE("settings: optional parts of an entry instance's file are parsed")
{
    std::string text = with_field(entry_text, "tls", R"({"certificate_file":"c","key_file":"k"})");
    text = with_field(text, "log", R"({"level":"debug","format":"json","file":"/tmp/log"})");
    text = with_field(text, "drain_timeout_ms", "250");
    const auto parsed = parse_entry_settings(text);
    REQUIRE_MESSAGE(ok(parsed), describe(failure(parsed)));
    CHECK(value(parsed).tls->key_file == "k");
    CHECK(value(parsed).log.format == "json");
    CHECK(value(parsed).drain_timeout == clock::duration(250));
}

TEST_CASE("settings: an invalid field of an entry instance's file is rejected with its JSON path")
{
    const auto corpus = test::read_corpus("bad_entry_settings.txt");
    REQUIRE(corpus.size() > 20);
    for (const test::corpus_entry& entry : corpus) {
        CAPTURE(entry.description);
        const auto parsed = parse_entry_settings(with_field(entry_text, entry.field, entry.text));
        REQUIRE_FALSE(ok(parsed));
        CAPTURE(failure(parsed).message);
        CHECK(failure(parsed).kind == error_kind::bad_settings);
        CHECK(failure(parsed).message.starts_with(entry.path + ": expected "));
        CHECK_FALSE(failure(parsed).remedy.empty());
    }
}

TEST_CASE("settings: inconsistent values in a control instance's file are rejected")
{
    REQUIRE(ok(parse_control_settings(control_text)));
    CHECK(control_error_message("heartbeat_ms", "300")
              .starts_with("$.heartbeat_ms: expected less than"));
    CHECK(control_error_message("election_max_ms", "300").starts_with("$.election_max_ms:"));
    CHECK(control_error_message("write_lease_ms", "5000").starts_with("$.write_lease_ms:"));
    CHECK(control_error_message("bus_endpoint", "\"tcp://127.0.0.1:7999\"")
              .starts_with("$.control[0].endpoint:"));
    CHECK(control_error_message("data_folder", "\"\"").starts_with("$.data_folder:"));
    CHECK(control_error_message("session_secret", "\"0123456789abcdef0123456789abcdef\"")
              .starts_with("$.session_secret: expected one of "));
}

TEST_CASE("settings: a control instance that joins later may omit itself from the list")
{
    const std::string text =
        with_field(control_text, "control", R"([{"name":"c9","endpoint":"tcp://127.0.0.1:7199"}])");
    CHECK(ok(parse_control_settings(text)));
}

TEST_CASE("settings: an operator's file is parsed")
{
    const auto parsed = parse_operator_settings(
        R"({"cell":"kyushu","control":[{"name":"c1","endpoint":"tcp://127.0.0.1:7100"}]})");
    REQUIRE(ok(parsed));
    CHECK(value(parsed).control.size() == 1);
    const auto with_unknown_key = parse_operator_settings(
        R"({"cell":"kyushu","control":[{"name":"c1","endpoint":"tcp://127.0.0.1:7100"}],
            "instance":"e1"})");
    REQUIRE_FALSE(ok(with_unknown_key));
    CHECK(
        failure(with_unknown_key).message.starts_with("$.instance: expected one of cell, control"));
}

TEST_CASE("settings: a syntax error names its line and column")
{
    const auto parsed = parse_entry_settings("{\n  \"cell\": ,\n}");
    REQUIRE_FALSE(ok(parsed));
    CHECK(failure(parsed).message.find("line 2, column ") != std::string::npos);
}

TEST_CASE("settings: reading a missing file or a folder gives a typed error")
{
    const auto missing = read_file("/nonexistent/settings.json");
    REQUIRE_FALSE(ok(missing));
    CHECK(failure(missing).kind == error_kind::bad_settings);
    CHECK(failure(missing).message.find("/nonexistent/settings.json") != std::string::npos);
    CHECK_FALSE(ok(read_file("/tmp")));
    const auto empty = read_file("/dev/null");
    REQUIRE(ok(empty));
    CHECK(value(empty).empty());
}
