#include "line_connection.h"

#include "clock_timer.h"
#include "http_address.h"

#include <primrosehead/config.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace primrosehead {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
constexpr std::size_t read_size_bytes = 2 * config::kibibyte; // most answers fit into one read

} // namespace

const line_answer* line_exchange::answer_before_rollback() const noexcept
{
    if (answers.empty() || (answers.front().is_error && !is_complete()) ||
        !answers.front().can_answer_statement(session_state::in_transaction)) {
        return nullptr;
    }
    return &answers.front();
}

line_connection::line_connection(const net::any_io_executor& executor, const line_dialect& dialect)
    : socket_(executor), timer_(executor), reader_(dialect)
{
}

line_connection::~line_connection()
{
    timer_.cancel();
}

// Closes the socket at the deadline, which cancels the pending operation.
void line_connection::arm_timer(clock::time_point deadline)
{
    *expired_ = false;
    timer_.expires_at(to_steady_time(deadline));
    timer_.async_wait([this, expired = expired_](const boost::system::error_code& ec) {
        if (!ec && expired.use_count() > 1) {
            *expired = true;
            boost::system::error_code ignored; // the socket is discarded in any case
            socket_.close(ignored);
        }
    });
}

void line_connection::disarm_timer()
{
    timer_.cancel();
}

net::awaitable<line_connection::open_result> line_connection::open(net::any_io_executor executor,
                                                                   const line_dialect& dialect,
                                                                   const std::string& address,
                                                                   const std::string& startup,
                                                                   clock::time_point deadline)
{
    const result<tcp::endpoint> endpoint = http::parse_address(address);
    if (!ok(endpoint)) {
        co_return open_failure{open_failure_kind::refused, {}};
    }
    std::unique_ptr<line_connection> connection(new line_connection(executor, dialect));
    connection->arm_timer(deadline);
    const auto [ec] = co_await connection->socket_.async_connect(value(endpoint), no_throw);
    if (ec) {
        const bool has_timed_out = *connection->expired_;
        connection->disarm_timer();
        co_return open_failure{
            has_timed_out ? open_failure_kind::timed_out : open_failure_kind::refused, {}};
    }
    boost::system::error_code ignored; // without the option small messages are only delayed
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    connection->reader_.expect_greeting();
    line_exchange greeting = co_await connection->exchange(startup, 1, deadline);
    if (!greeting.is_complete()) {
        co_return open_failure{
            greeting.has_timed_out ? open_failure_kind::timed_out : open_failure_kind::refused, {}};
    }
    if (greeting.answers.front().is_error) {
        co_return open_failure{open_failure_kind::rejected, greeting.answers.front().code};
    }
    co_return std::move(connection);
}

bool line_connection::feed_line(std::string_view line, line_exchange& outcome)
{
    switch (reader_.feed(line)) {
    case line_answer_reader::progress::malformed:
        outcome.is_broken = true;
        return false;
    case line_answer_reader::progress::complete:
        outcome.answers.push_back(reader_.take());
        if (outcome.answers.back().position) {
            position_ = outcome.answers.back().position;
        }
        break;
    case line_answer_reader::progress::incomplete:
        break;
    }
    return true;
}

// Parses the complete lines in the buffer. Returns whether more input is needed.
bool line_connection::consume_lines(std::size_t count, line_exchange& outcome)
{
    while (outcome.answers.size() < count) {
        const std::size_t end = buffer_.find(line_end, consumed_);
        if (end == std::string::npos) {
            buffer_.erase(0, consumed_);
            consumed_ = 0;
            outcome.is_broken = outcome.is_broken || buffer_.size() > config::max_line_bytes;
            return !outcome.is_broken;
        }
        const std::string_view line(buffer_.data() + consumed_, end - consumed_);
        consumed_ = end + line_end.size();
        if (!feed_line(line, outcome)) {
            return false;
        }
        const bool is_early = last_state_ && !outcome.answers.empty() &&
                              outcome.answers.size() < count &&
                              outcome.answers.back().state == *last_state_;
        if (is_early) {
            outcome.is_broken = true;
            return false;
        }
    }
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return false;
}

net::awaitable<void> line_connection::read_answers(std::size_t count, line_exchange& outcome)
{
    while (consume_lines(count, outcome)) {
        const std::size_t buffered = buffer_.size();
        buffer_.resize(buffered + read_size_bytes);
        const auto [ec, size] = co_await socket_.async_read_some(
            net::buffer(buffer_.data() + buffered, read_size_bytes), no_throw);
        buffer_.resize(buffered + (ec ? 0 : size));
        if (ec) {
            // A server that rejects the startup closes the connection after the error line and
            // sends no ready line.
            const bool is_greeting = reader_.is_greeting_expected();
            line_answer unfinished = reader_.take();
            if (is_greeting && unfinished.is_error) {
                outcome.answers.push_back(std::move(unfinished));
            }
            outcome.is_broken = outcome.answers.size() < count;
            co_return;
        }
    }
}

net::awaitable<line_exchange> line_connection::exchange(const std::string& queries,
                                                        std::size_t count,
                                                        clock::time_point deadline,
                                                        std::optional<session_state> last_state)
{
    line_exchange outcome;
    if (!reader_.is_greeting_expected() && !is_usable()) {
        outcome.is_unsent = true; // what has come is no answer to queries that were not sent
        outcome.is_broken = true;
        co_return outcome;
    }
    last_state_ = last_state;
    outcome.answers.reserve(count);
    arm_timer(deadline);
    const auto [ec, written] = co_await net::async_write(socket_, net::buffer(queries), no_throw);
    if (ec) {
        outcome.is_broken = true;
    }
    else {
        co_await read_answers(count, outcome);
    }
    disarm_timer();
    if (!outcome.is_complete() && *expired_) {
        outcome.has_timed_out = true;
    }
    co_return outcome;
}

bool line_connection::is_usable()
{
    if (!socket_.is_open() || !buffer_.empty()) {
        return false;
    }
    char byte = 0;
    const ssize_t received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace primrosehead
