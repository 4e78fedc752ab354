#include "standin_announcer.h"

#include "standin_messages.h"

#include <primrosehead/http.h>

#include <boost/json/serialize.hpp>

namespace primrosehead::standin {

namespace {

constexpr clock::duration interval{100};
constexpr clock::duration call_timeout{500};

http::request post(const node& about, const std::string& own_url)
{
    http::request sent;
    sent.method = "POST";
    sent.target = "/v1/announcements";
    sent.headers = {{"Primrose-From", about.settings.server}};
    sent.body = announcement(about, own_url);
    return sent;
}

} // namespace

std::string announcement(const node& about, std::string_view url)
{
    const database& data = about.data;
    const log_position applied = data.applied();
    const log_position received = data.received();
    return boost::json::serialize(
        boost::json::object{{"server", about.settings.server},
                            {"database", about.settings.database},
                            {"failure_domain", about.settings.failure_domain},
                            {"url", url},
                            {"role", data.is_primary() ? "primary" : "replica"},
                            {"applied", to_json(applied)},
                            {"received", to_json(received)},
                            {"term", data.term()},
                            {"data_age_ms", data.data_age(clock::now()).count()},
                            {"slots", about.settings.slots},
                            {"connection_limit", about.settings.connection_limit},
                            {"leaving", about.controls.leaving}});
}

boost::asio::awaitable<void> announce(std::shared_ptr<node> about, std::string own_url,
                                      std::string to)
{
    std::unique_ptr<http::client> link;
    while (!about->stopped) {
        const clock::time_point now = clock::now();
        const bool silent = !about->reaches("announcements") || about->controls.is_cut(to);
        if (!silent && (link == nullptr || !link->is_open())) {
            result<std::unique_ptr<http::client>> opened =
                co_await http::client::connect(to, now + call_timeout);
            link = ok(opened) ? std::move(value(opened)) : nullptr;
        }
        if (!silent && link != nullptr) {
            const http::request sent = post(*about, own_url);
            const auto answered = co_await link->call(sent, clock::now() + call_timeout);
            if (!ok(answered)) {
                link.reset();
            }
        }
        co_await about->role_changed.wait_until(now + interval);
    }
}

} // namespace primrosehead::standin
