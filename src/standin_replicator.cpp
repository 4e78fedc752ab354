#include "standin_replicator.h"

#include "standin_messages.h"

#include <primrosehead/http.h>

#include <spdlog/spdlog.h>

namespace primrosehead::standin {

namespace {

constexpr clock::duration apply_interval{2};
constexpr clock::duration retry_pause{20};
constexpr clock::duration connect_timeout{200};
constexpr clock::duration call_timeout{500};

http::request make_log_request(const node& self, const log_request& query)
{
    http::request request;
    request.method = "GET";
    request.target = log_target(query, self.settings.server);
    request.headers = {{"Primrose-From", self.settings.server}};
    return request;
}

// Appends the entries of one response to the log. Returns false if the response is not usable and
// the connection should be closed.
bool apply_response(node& self, const replication_source& source, const http::response& response,
                    clock::time_point asked_at)
{
    if (response.status != 200) {
        return false;
    }
    const result<log_batch> batch = log_batch_from(response.body);
    if (!ok(batch)) {
        spdlog::warn("standin: log response rejected: {}", describe(failure(batch)));
        return false;
    }
    const clock::time_point now = clock::now();
    const bool is_accepted = ok(self.data.receive(source.term, value(batch), asked_at, now));
    self.data.apply(now, self.controls.lag);
    return is_accepted;
}

} // namespace

boost::asio::awaitable<void> replicate(std::shared_ptr<node> self)
{
    const replication_source source = self->source;
    std::unique_ptr<http::client> connection;
    while (!self->stopped && self->source == source) {
        if (!self->can_reach(source.primary)) {
            connection.reset();
            co_await pause_for(retry_pause);
            continue;
        }
        const clock::time_point asked_at = clock::now();
        if (connection == nullptr || !connection->is_open()) {
            result<std::unique_ptr<http::client>> opened =
                co_await http::client::connect(source.url, asked_at + connect_timeout);
            connection = ok(opened) ? std::move(value(opened)) : nullptr;
        }
        bool is_usable = false;
        if (connection != nullptr) {
            const http::request request = make_log_request(*self, self->data.next_request());
            const result<http::response> response =
                co_await connection->call(request, clock::now() + call_timeout);
            const bool is_current = self->source == source && self->can_reach(source.primary);
            is_usable = ok(response) && is_current &&
                        apply_response(*self, source, value(response), asked_at);
        }
        if (!is_usable) {
            connection.reset();
            co_await pause_for(retry_pause);
        }
    }
}

boost::asio::awaitable<void> apply_with_lag(std::shared_ptr<node> self)
{
    while (!self->stopped) {
        if (!self->controls.frozen) {
            self->data.apply(clock::now(), self->controls.lag);
        }
        co_await pause_for(apply_interval);
    }
}

} // namespace primrosehead::standin
