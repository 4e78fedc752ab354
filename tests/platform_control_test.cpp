#include "control_http.h"
#include "event_log.h"
#include "primrosehead.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace primrosehead;

namespace {

namespace net = boost::asio;

// Records what the platform's calls were translated to.
class recording_instance : public cell::control_api {
  public:
    net::awaitable<status> announce(const pb::server_announcement& announcement) override
    {
        announced.push_back(announcement);
        co_return leads ? status{std::monostate{}} : status{nobody()};
    }
    net::awaitable<status> set_evacuation(const std::string& domain, bool is_withdrawn) override
    {
        evacuations.push_back((is_withdrawn ? "-" : "+") + domain);
        co_return leads ? answer : status{nobody()};
    }
    net::awaitable<status> publish(const std::string& text) override
    {
        published.push_back(text);
        co_return answer;
    }
    net::awaitable<result<std::string>> latest_document() override
    {
        if (!leads) {
            co_return nobody();
        }
        co_return std::string(R"({"version":7})");
    }

    static error nobody() { return error{error_kind::no_quorum, "Nobody leads.", "Send again."}; }

    bool leads = true;
    status answer = std::monostate{};
    std::vector<pb::server_announcement> announced;
    std::vector<std::string> published;
    std::vector<std::string> evacuations; // "+" to evacuate, "-" to withdraw
};

http::response call(recording_instance& instance, std::string method, std::string target,
                    std::string body)
{
    net::io_context context;
    const http::listener::handler handler = platform::make_control_handler(instance);
    http::request sent;
    sent.method = std::move(method);
    sent.target = std::move(target);
    sent.body = std::move(body);
    std::optional<http::response> answered;
    net::co_spawn(
        context, [&]() -> net::awaitable<void> { answered = co_await handler(sent); },
        net::detached);
    context.run();
    REQUIRE(answered);
    return *answered;
}

const std::string good_announcement =
    R"({"service":"huvo","address":"10.128.0.9:8080","zone":"fukuoka","version":"v1","capacity":3,)"
    R"("state":"draining","warmup_left_ms":20,"db_role":"primary","sequence":4,"born":1700000000000})";

// Returns the good announcement with the value of one field replaced by a JSON text.
std::string announcement_with(std::string_view field, std::string_view value)
{
    std::string body = good_announcement;
    const std::size_t name = body.find('"' + std::string(field) + "\":");
    REQUIRE(name != std::string::npos);
    const std::size_t begin = name + field.size() + 3;
    body.replace(begin, body.find_first_of(",}", begin) - begin, value);
    return body;
}

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string nested(std::size_t levels, std::string_view open, std::string_view close)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level) {
        text += open;
    }
    text += "1";
    for (std::size_t level = 0; level < levels; ++level) {
        text += close;
    }
    return text;
}

// Sends raw bytes to a listener with the handler and returns the beginning of the response.
std::string send_raw(recording_instance& instance, const std::string& bytes)
{
    net::io_context context;
    http::listener_settings settings;
    settings.address = "127.0.0.1:0";
    const auto opened = http::listener::open(context.get_executor(), settings,
                                             platform::make_control_handler(instance));
    REQUIRE(ok(opened));
    std::string received;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            net::ip::tcp::socket socket(context);
            co_await socket.async_connect({net::ip::address_v4::loopback(), value(opened)->port()},
                                          net::use_awaitable);
            co_await net::async_write(socket, net::buffer(bytes), net::use_awaitable);
            std::array<char, 512> buffer{};
            const std::size_t size =
                co_await socket.async_read_some(net::buffer(buffer), net::use_awaitable);
            received.assign(buffer.data(), size);
            context.stop();
        },
        net::detached);
    context.run_for(std::chrono::seconds(10));
    return received;
}

} // namespace

TEST_CASE("platform control: an announcement is decoded")
{
    recording_instance instance;
    CHECK(call(instance, "PUT", "/instances/i-7f", good_announcement).status == 200);
    REQUIRE(instance.announced.size() == 1);
    const pb::server_announcement& told = instance.announced.front();
    CHECK(told.server() == "i-7f");
    CHECK(told.group() == "huvo");
    CHECK(told.slots() == 3);
    CHECK(told.leaving());
    CHECK(told.is_primary());
    CHECK(told.sequence() == 4);
    CHECK(told.born_ms() == 1'700'000'000'000);
    CHECK(call(instance, "DELETE", "/instances/i-7f", "").status == 200);
    CHECK(instance.announced.back().gone());
}

TEST_CASE("platform control: an announcement of another writer names no server")
{
    recording_instance instance;
    std::vector<std::string> bodies{"", "[]", "{}", "\xff\xfe", "{\"service\":7}"};
    for (const char* field : {"service", "address", "zone", "capacity", "state", "sequence"}) {
        std::string without = good_announcement;
        const std::size_t place = without.find(std::string("\"") + field + "\"");
        without.replace(place + 1, 1, "x");
        bodies.push_back(without);
    }
    std::string other_state = good_announcement;
    other_state.replace(other_state.find("draining"), 8, "sleeping");
    bodies.push_back(other_state);
    std::string other_type = good_announcement;
    other_type.replace(other_type.find("\"capacity\":3"), 12, "\"capacity\":\"3\"");
    bodies.push_back(other_type);
    for (const std::string& body : bodies) {
        CAPTURE(body);
        CHECK(call(instance, "PUT", "/instances/i-7f", body).status == 400);
    }
    CHECK(call(instance, "PUT", "/instances/", good_announcement).status == 400);
    CHECK(instance.announced.empty());
}

TEST_CASE("platform control: an announcement with a value out of range names no server")
{
    struct odd_value {
        std::string field;
        std::string value;
    };
    const std::vector<odd_value> odd_values{
        {"service", quoted("")},
        {"service", quoted("a b")},
        {"service", quoted("a\\r\\nQ x")},
        {"service", quoted(std::string(129, 's'))},
        {"zone", quoted("a\\u0000b")},
        {"zone", quoted(std::string(129, 'z'))},
        {"address", quoted("")},
        {"address", quoted("10.128.0.9")},
        {"address", quoted("10.128.0.9:")},
        {"address", quoted("10.128.0.9:0")},
        {"address", quoted("10.128.0.9:-1")},
        {"address", quoted("10.128.0.9:65536")},
        {"address", quoted("10.128.0.9:99999")},
        {"address", quoted("10.128.0.9:18446744073709551617")},
        {"address", quoted("10.128.0.9:80 ")},
        {"address", quoted("10.128.0.9\\u0000x:80")},
        {"address", quoted("10.128.0.9\\r\\n:80")},
        {"address", quoted("server.example:80")},
        {"address", quoted("0.0.0.0:80")},
        {"address", quoted("224.0.0.1:80")},
        {"address", quoted("[::]:80")},
        {"address", quoted(std::string(3'000'000, '1') + ":80")},
        {"capacity", "-1"},
        {"capacity", "3.5"},
        {"capacity", "1e400"},
        {"capacity", "4294967296"},
        {"capacity", "4294967299"},
        {"capacity", "4294967295"},
        {"capacity", "18446744073709551616"},
        {"sequence", "-1"},
        {"sequence", "18446744073709551615"},
        {"sequence", "18446744073709551616"},
        {"born", "-1"},
        {"born", "1e400"},
        {"born", "\"1700000000000\""},
        {"born", "9223372036854775807"},
        {"born", "18446744073709551615"},
        {"warmup_left_ms", "-1"},
        {"warmup_left_ms", "0.5"},
        {"warmup_left_ms", "4294967296"},
        {"warmup_left_ms", "4294967295"},
        {"warmup_left_ms", "{}"},
        {"db_role", "1"},
    };
    for (const odd_value& each : odd_values) {
        recording_instance instance;
        CAPTURE(each.field);
        CAPTURE(each.value.substr(0, 60));
        CHECK(call(instance, "PUT", "/instances/i-7f", announcement_with(each.field, each.value))
                  .status == 400);
        CHECK(instance.announced.empty());
    }
}

TEST_CASE("platform control: the good announcements beside odd ones are accepted")
{
    struct good_value {
        std::string field;
        std::string value;
    };
    for (const good_value& each :
         {good_value{"capacity", "0"}, good_value{"address", "\"[fd00::1]:80\""},
          good_value{"address", "\"10.128.0.9:65535\""}, good_value{"born", "0"},
          good_value{"born", "null"}, good_value{"warmup_left_ms", "null"},
          good_value{"db_role", "null"}, good_value{"sequence", "0"},
          good_value{"sequence", "9223372036854775807"}}) {
        recording_instance instance;
        CAPTURE(each.field);
        CAPTURE(each.value);
        CHECK(call(instance, "PUT", "/instances/i-7f", announcement_with(each.field, each.value))
                  .status == 200);
    }
}

TEST_CASE("platform control: a server name that instances can't pass on is rejected")
{
    for (const std::string& name :
         {std::string("i-\xff"), std::string("i-\xc3\x28"), std::string("i 7"),
          std::string("i\r\n7"), std::string("i\0007", 3), std::string(129, 'i')}) {
        CAPTURE(name);
        recording_instance instance;
        CHECK(call(instance, "PUT", "/instances/" + name, good_announcement).status == 400);
        CHECK(call(instance, "DELETE", "/instances/" + name, "").status == 400);
        CHECK(instance.announced.empty());
    }
    recording_instance instance;
    const std::string length = std::to_string(good_announcement.size());
    const std::string answer = send_raw(instance, "PUT /instances/i-\xff HTTP/1.1\r\nHost: a\r\n"
                                                  "Content-Length: " +
                                                      length + "\r\n\r\n" + good_announcement);
    CAPTURE(answer);
    CHECK(answer.find(" 400 ") != std::string::npos);
    CHECK(instance.announced.empty());
}

TEST_CASE("platform control: the announcements of another writer do not fill the log")
{
    recording_instance instance;
    event_log log(-1, "cell-1");
    const std::shared_ptr<spdlog::logger> previous = spdlog::default_logger();
    redirect_spdlog(log, "info");
    const http::listener::handler handler = platform::make_control_handler(instance);
    http::request sent;
    sent.method = "PUT";
    sent.target = "/instances/" + std::string(5'000, 'i');
    sent.body = announcement_with("address", quoted(std::string(100'000, '1')));
    net::io_context context;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            for (int number = 0; number < 200; ++number) {
                const http::response answer = co_await handler(sent);
                CHECK(answer.status == 400);
            }
        },
        net::detached);
    context.run();
    spdlog::set_default_logger(previous);
    CHECK(log.lines() == 1);
    CHECK(log.buffered().size() < 1'000);
    CHECK(instance.announced.empty());
}

TEST_CASE("platform control: very deep nesting and duplicate fields end no handler")
{
    recording_instance instance;
    for (const std::size_t levels : {33U, 5'000U, 500'000U}) {
        CHECK(call(instance, "PUT", "/instances/i-7f", nested(levels, "[", "]")).status == 400);
        CHECK(call(instance, "PUT", "/instances/i-7f",
                   announcement_with("service", nested(levels, "{\"a\":", "}")))
                  .status == 400);
    }
    CHECK(instance.announced.empty());
    const std::string duplicate = announcement_with("capacity", "3,\"capacity\":1e400");
    CHECK(call(instance, "PUT", "/instances/i-7f", duplicate).status == 400);
    CHECK(instance.announced.empty());
}

TEST_CASE("platform control: an evacuation is decoded")
{
    recording_instance instance;
    CHECK(call(instance, "POST", "/evacuations/fukuoka", "").status == 200);
    CHECK(call(instance, "DELETE", "/evacuations/fukuoka", "").status == 200);
    CHECK(instance.evacuations == std::vector<std::string>{"+fukuoka", "-fukuoka"});
    instance.answer = error{error_kind::bad_request, "Unknown.", "Use another."};
    CHECK(call(instance, "POST", "/evacuations/north", "").status == 400);
    instance.leads = false;
    CHECK(call(instance, "POST", "/evacuations/fukuoka", "").status == 503);
}

TEST_CASE("platform control: a malformed evacuation is rejected at once and reaches nobody")
{
    recording_instance instance;
    for (const std::string& target :
         {std::string("/evacuations"), std::string("/evacuations/"), std::string("/evacuations//"),
          std::string("/evacuations/a/b"), std::string("/evacuations/a?b=c"),
          std::string("/evacuations/%20"), "/evacuations/" + std::string(65, 'a')}) {
        CAPTURE(target);
        const http::response answer = call(instance, "POST", target, "");
        CHECK(answer.status == 400);
        CHECK(answer.body.find("bad_request") != std::string::npos);
        CHECK(call(instance, "DELETE", target, "").status == 400);
    }
    for (const char* method : {"GET", "PUT", "PATCH", "HEAD", ""}) {
        CHECK(call(instance, method, "/evacuations/fukuoka", "").status == 400);
    }
    CHECK(call(instance, "POST", "/evacuationsx/fukuoka", "").status == 404);
    CHECK(instance.evacuations.empty());
}

TEST_CASE("platform control: answers tell invalid, conflicting and unknown outcomes apart")
{
    recording_instance instance;
    CHECK(call(instance, "PUT", "/config", "{}").status == 200);
    instance.answer = error{error_kind::bad_request, "No version.", "Add one."};
    CHECK(call(instance, "PUT", "/config", "{}").status == 400);
    instance.answer = error{error_kind::version_conflict, "Held.", "Take a higher one."};
    CHECK(call(instance, "PUT", "/config", "{}").status == 409);
    instance.answer = recording_instance::nobody();
    CHECK(call(instance, "PUT", "/config", "{}").status == 503);
    CHECK(call(instance, "GET", "/config", "").body == R"({"version":7})");
    instance.leads = false;
    CHECK(call(instance, "GET", "/config", "").status == 503);
    CHECK(call(instance, "PUT", "/instances/i-7f", good_announcement).status == 503);
    CHECK(call(instance, "GET", "/elsewhere", "").status == 404);
}
