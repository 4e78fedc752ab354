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
constexpr std::size_t read_bytes = 2 * config::kibibyte; // most answers fit into one read

} // namespace

line_connection::line_connection(const net::any_io_executor& executor, const line_dialect& dialect)
    : socket_(executor), timer_(executor), reader_(dialect)
{
}

line_connection::~line_connection()
{
    timer_.cancel();
}

// Closes the socket at the deadline, which ends the operation that waits for it.
void line_connection::arm(clock::time_point deadline)
{
    *expired_ = false;
    timer_.expires_at(to_steady_time(deadline));
    timer_.async_wait([this, expired = expired_](const boost::system::error_code& failed) {
        if (!failed && expired.use_count() > 1) {
            *expired = true;
            boost::system::error_code ignored; // the socket is of no more use either way
            socket_.close(ignored);
        }
    });
}

void line_connection::disarm()
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
    std::unique_ptr<line_connection> made(new line_connection(executor, dialect));
    made->arm(deadline);
    const auto [failed] = co_await made->socket_.async_connect(value(endpoint), no_throw);
    if (failed) {
        const bool late = *made->expired_;
        made->disarm();
        co_return open_failure{late ? open_failure_kind::timed_out : open_failure_kind::refused,
                               {}};
    }
    boost::system::error_code ignored; // without it small messages are only later
    made->socket_.set_option(tcp::no_delay(true), ignored);
    line_exchange greeting = co_await made->exchange(startup, 1, deadline);
    if (!greeting.is_complete()) {
        co_return open_failure{
            greeting.has_timed_out ? open_failure_kind::timed_out : open_failure_kind::refused, {}};
    }
    if (greeting.answers.front().is_error) {
        co_return open_failure{open_failure_kind::rejected, greeting.answers.front().code};
    }
    co_return std::move(made);
}

bool line_connection::feed_line(std::string_view line, line_exchange& into)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    switch (reader_.feed(line)) {
    case line_answer_reader::progress::malformed:
        into.is_broken = true;
        return false;
    case line_answer_reader::progress::complete:
        into.answers.push_back(reader_.take());
        if (into.answers.back().position) {
            position_ = into.answers.back().position;
        }
        break;
    case line_answer_reader::progress::incomplete:
        break;
    }
    return true;
}

// Reads the whole lines of the buffer. False when nothing more is to be read.
bool line_connection::take_lines(std::size_t count, line_exchange& into)
{
    while (into.answers.size() < count) {
        const std::size_t end = buffer_.find('\n', consumed_);
        if (end == std::string::npos) {
            buffer_.erase(0, consumed_);
            consumed_ = 0;
            into.is_broken = into.is_broken || buffer_.size() > config::max_line_bytes;
            return !into.is_broken;
        }
        const std::string_view line(buffer_.data() + consumed_, end - consumed_);
        consumed_ = end + 1;
        if (!feed_line(line, into)) {
            return false;
        }
    }
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return false;
}

net::awaitable<void> line_connection::read_answers(std::size_t count, line_exchange& into)
{
    while (take_lines(count, into)) {
        const std::size_t held = buffer_.size();
        buffer_.resize(held + read_bytes);
        const auto [failed, size] = co_await socket_.async_read_some(
            net::buffer(buffer_.data() + held, read_bytes), no_throw);
        buffer_.resize(held + (failed ? 0 : size));
        if (failed) {
            // A startup that is refused is closed right after its error, without a state.
            line_answer last = reader_.take();
            if (last.is_error) {
                into.answers.push_back(std::move(last));
            }
            into.is_broken = into.answers.size() < count;
            co_return;
        }
    }
}

net::awaitable<line_exchange>
line_connection::exchange(const std::string& queries, std::size_t count, clock::time_point deadline)
{
    line_exchange outcome;
    outcome.answers.reserve(count);
    arm(deadline);
    const auto [failed, written] =
        co_await net::async_write(socket_, net::buffer(queries), no_throw);
    if (failed) {
        outcome.is_broken = true;
    }
    else {
        co_await read_answers(count, outcome);
    }
    disarm();
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
    const ssize_t seen = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace primrosehead
