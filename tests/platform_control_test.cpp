#include "control_http.h"
#include "primrosehead.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
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
