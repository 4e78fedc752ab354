#include "standin_announcer.h"

#include "standin_messages.h"

#include <primrosehead/http.h>

#include <boost/json/serialize.hpp>

namespace primrosehead::standin {

namespace {

constexpr clock::duration announcement_interval{100};
constexpr clock::duration call_timeout{500};

http::request post(const node& self, const std::string& own_url)
{
    http::request request;
    request.method = "POST";
    request.target = "/v1/announcements";
    request.headers = {{"Primrose-From", self.settings.server}};
    request.body = announcement(self, own_url);
    return request;
}

} // namespace

std::string announcement(const node& self, std::string_view url)
{
    const database& data = self.data;
    const log_position applied = data.applied();
    const log_position received = data.received();
    return boost::json::serialize(
        boost::json::object{{"server", self.settings.server},
                            {"database", self.settings.database},
                            {"failure_domain", self.settings.failure_domain},
                            {"url", url},
                            {"role", data.is_primary() ? "primary" : "replica"},
                            {"applied", to_json(applied)},
                            {"received", to_json(received)},
                            {"term", data.term()},
                            {"data_age_ms", data.data_age(clock::now()).count()},
                            {"slots", self.settings.slots},
                            {"connection_limit", self.settings.connection_limit},
                            {"leaving", self.controls.leaving}});
}

boost::asio::awaitable<void> announce(std::shared_ptr<node> self, std::string own_url,
                                      std::string target_url)
{
    std::unique_ptr<http::client> connection;
    while (!self->stopped) {
        const clock::time_point now = clock::now();
        const bool is_muted =
            !self->can_reach("announcements") || self->controls.is_cut(target_url);
        if (!is_muted && (connection == nullptr || !connection->is_open())) {
            result<std::unique_ptr<http::client>> opened =
                co_await http::client::connect(target_url, now + call_timeout);
            connection = ok(opened) ? std::move(value(opened)) : nullptr;
        }
        if (!is_muted && connection != nullptr) {
            const http::request request = post(*self, own_url);
            const auto response = co_await connection->call(request, clock::now() + call_timeout);
            if (!ok(response)) {
                connection.reset();
            }
        }
        co_await self->role_changed.wait_until(now + announcement_interval);
    }
}

} // namespace primrosehead::standin
