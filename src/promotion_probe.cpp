#include "promotion_probe.h"

#include "line_primary_check.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <utility>

namespace primrosehead::promotion {

namespace net = boost::asio;

namespace {

// Far above a round trip plus connection setup, far below a statement timeout.
constexpr clock::duration probe_timeout{400};

// Name in the startup message, in place of an organisation.
constexpr std::string_view client_name = "primrosehead";

} // namespace

probe::probe(net::any_io_executor executor, const line_dialect& dialect, std::string group,
             std::string server, std::string address)
    : executor_(std::move(executor)), dialect_(dialect), group_(std::move(group)),
      server_(std::move(server)), address_(std::move(address))
{
}

net::awaitable<void> probe::acquire()
{
    constexpr clock::duration poll_interval{5};
    while (is_busy_) {
        net::steady_timer timer(executor_, poll_interval);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
    is_busy_ = true;
    last_used_at_ = clock::now();
}

net::awaitable<probe_result> probe::connect(clock::time_point deadline)
{
    connect_error_code_.clear();
    if (connection_ && connection_->is_usable()) {
        co_return probe_result::answered;
    }
    connection_.reset();
    const std::string startup =
        fmt::format("{} {} {} {}\r\n", dialect_.startup, group_, client_name, server_);
    line_connection::open_result opened =
        co_await line_connection::open(executor_, dialect_, address_, startup, deadline);
    if (const auto* const failed = std::get_if<open_failure>(&opened)) {
        // An error code proves that the process is up, but not that it is usable.
        connect_error_code_ = failed->code;
        co_return failed->kind == open_failure_kind::refused ? probe_result::refused
                                                             : probe_result::silent;
    }
    connection_ = std::move(std::get<std::unique_ptr<line_connection>>(opened));
    co_return probe_result::answered;
}

net::awaitable<line_exchange> probe::exchange(const std::string& queries, std::size_t count,
                                              clock::time_point deadline)
{
    line_exchange outcome = co_await connection_->exchange(queries, count, deadline);
    if (!outcome.is_complete()) {
        connection_.reset();
    }
    co_return outcome;
}

net::awaitable<primary_answer> probe::check_primary()
{
    co_await acquire();
    const clock::time_point deadline = last_used_at_ + probe_timeout;
    primary_answer answer;
    answer.result = co_await connect(deadline);
    if (answer.result == probe_result::answered) {
        const std::string queries = make_primary_check(dialect_);
        const line_exchange outcome = co_await exchange(queries, primary_check_queries, deadline);
        switch (read_primary_check(outcome.answers, dialect_)) {
        case primary_check::primary:
            answer.position = *outcome.answers.front().position;
            break;
        case primary_check::refused:
            answer.result = probe_result::not_primary;
            answer.position = outcome.answers.front().position.value_or(log_position{});
            break;
        case primary_check::unclear: // a server that is down refuses the next connection
            answer.result = probe_result::silent;
            break;
        }
    }
    is_busy_ = false;
    co_return answer;
}

net::awaitable<status_answer> probe::execute(const std::string& statement)
{
    const clock::time_point deadline = clock::now() + probe_timeout;
    co_await acquire();
    status_answer answer;
    answer.result = probe_result::not_sent;
    if (clock::now() < deadline) {
        answer.result = co_await connect(deadline);
        answer.code = connect_error_code_;
    }
    if (answer.result == probe_result::answered && clock::now() >= deadline) {
        answer.result = probe_result::not_sent;
    }
    if (answer.result == probe_result::answered) {
        const std::string query = fmt::format("{} - {}\r\n", dialect_.query, statement);
        const line_exchange outcome = co_await exchange(query, 1, deadline);
        answer.result = probe_result::silent;
        if (outcome.is_complete()) {
            const line_answer& received = outcome.answers.front();
            answer.code = received.code;
            if (const std::optional<server_status> status = read_status(received, dialect_)) {
                answer.result = probe_result::answered;
                answer.status = *status;
            }
        }
    }
    is_busy_ = false;
    co_return answer;
}

} // namespace primrosehead::promotion
