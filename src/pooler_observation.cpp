#include "pooler_observation.h"

#include "line_dialect.h"
#include "line_primary_check.h"
#include "pooler_pool.h"

#include <boost/asio/use_awaitable.hpp>

#include <string>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr clock::duration observation_timeout{400};

} // namespace

net::awaitable<void> observe_primary(pool& connections, const line_dialect& dialect,
                                     std::unique_ptr<pooled_connection> connection)
{
    const std::shared_ptr<pooled_server> server = connection->server;
    const std::string queries = make_primary_check(dialect);
    const clock::time_point asked_at = clock::now();
    const line_exchange exchange = co_await connection->link->exchange(
        queries, primary_check_queries, asked_at + observation_timeout);
    const clock::time_point now = clock::now();
    const primary_check check = read_primary_check(exchange.answers, dialect);
    const bool is_primary = check == primary_check::primary;
    if (is_primary) {
        connections.primary_of(server->group).record_primary(server->id, now);
        connections.freshness_of(server->group)
            .record(server->id, *exchange.answers.front().position, asked_at);
        server->record_success();
    }
    else if (check == primary_check::refused) {
        connections.primary_of(server->group).record_refusal(server->id, now);
    }
    const bool is_clean = exchange.is_complete() && is_primary && !exchange.answers.back().is_error;
    connections.release(std::move(connection), is_clean);
    if (exchange.answers.empty()) {
        connections.record_unanswered(*server, exchange.has_timed_out, asked_at, now);
    }
}

} // namespace primrosehead::pooler
