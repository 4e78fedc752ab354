#include "line_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace primrosehead::testing {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

// Returns the query's text without a leading "AFTER POSITION".
std::string_view operation_of(const line_dialect& dialect, std::string_view text)
{
    if (!text.starts_with(dialect.after)) {
        return text;
    }
    const std::size_t end = text.find(' ', dialect.after.size() + 1);
    return end == std::string_view::npos ? text : text.substr(end + 1);
}

// Only reads, writes and commits are answered with a signature.
bool is_signed(const line_dialect& dialect, std::string_view text)
{
    const std::string_view operation = operation_of(dialect, text);
    return operation.starts_with(dialect.read) || operation.starts_with(dialect.write) ||
           operation.starts_with(dialect.execute) || operation == dialect.commit;
}

// Affects the next `left` queries that begin with `prefix`.
struct injected_fault {
    std::string prefix;
    std::size_t left = 0;

    // True if the query is affected, which uses up one of those left.
    bool take(std::string_view text)
    {
        const bool is_affected = left > 0 && text.starts_with(prefix);
        left -= is_affected ? 1 : 0;
        return is_affected;
    }
};

} // namespace

struct line_server::state {
    explicit state(const net::any_io_executor& executor)
        : acceptor(executor, tcp::endpoint(net::ip::address_v4::loopback(), 0))
    {
    }
    tcp::acceptor acceptor;
    line_dialect dialect;
    std::vector<std::string> received;
    std::size_t connections = 0;
    bool drops_write_answers = false;
    bool drops_commit_answers = false;
    clock::duration answer_delay{0};
    std::size_t open = 0;
    std::size_t open_limit = std::numeric_limits<std::size_t>::max();
    std::uint64_t log_index = 1;
    bool is_replica = false;
    std::string row; // empty: reads return none
    injected_fault failure;
    std::string failure_code;
    injected_fault loss; // of answers
    bool omits_signatures = false;
    injected_fault changed;
    answer_change change;
};

line_server::line_server(const net::any_io_executor& executor)
    : state_(std::make_shared<state>(executor))
{
    net::co_spawn(executor, accept(state_), net::detached);
}

line_server::~line_server()
{
    boost::system::error_code ignored; // no client connects any more, even if closing fails
    state_->acceptor.close(ignored);
}

std::string line_server::address() const
{
    return fmt::format("127.0.0.1:{}", state_->acceptor.local_endpoint().port());
}

const std::vector<std::string>& line_server::received() const noexcept
{
    return state_->received;
}

std::size_t line_server::connections() const noexcept
{
    return state_->connections;
}

void line_server::drop_write_answers()
{
    state_->drops_write_answers = true;
}

void line_server::drop_commit_answers()
{
    state_->drops_commit_answers = true;
}

void line_server::fail_queries(std::string prefix, std::string_view code, std::size_t times)
{
    state_->failure = {std::move(prefix), times};
    state_->failure_code = code;
}

void line_server::omit_signatures()
{
    state_->omits_signatures = true;
}

void line_server::change_answers(std::string prefix, answer_change change, std::size_t times)
{
    state_->changed = {std::move(prefix), times};
    state_->change = std::move(change);
}

void line_server::lose_answers(std::string prefix, std::size_t times)
{
    state_->loss = {std::move(prefix), times};
}

void line_server::limit_connections(std::size_t limit)
{
    state_->open_limit = limit;
}

void line_server::follow(std::uint64_t log_index)
{
    state_->log_index = log_index;
    state_->is_replica = true;
}

void line_server::set_row(std::string row)
{
    state_->row = std::move(row);
}

void line_server::delay_answers(clock::duration time)
{
    state_->answer_delay = time;
}

net::awaitable<void> line_server::accept(std::shared_ptr<state> self)
{
    while (self->acceptor.is_open()) {
        auto [ec, socket] = co_await self->acceptor.async_accept(no_throw);
        if (ec) {
            co_return;
        }
        ++self->connections;
        boost::system::error_code ignored; // answers are delayed without the option
        socket.set_option(tcp::no_delay(true), ignored);
        net::co_spawn(self->acceptor.get_executor(), serve(self, std::move(socket)), net::detached);
    }
}

net::awaitable<void> line_server::serve(std::shared_ptr<state> self, tcp::socket socket)
{
    const line_dialect& dialect = self->dialect;
    if (self->open >= self->open_limit) {
        const std::string rejection =
            fmt::format("{} {} limit\r\n", dialect.failed, dialect.too_many);
        co_await net::async_write(socket, net::buffer(rejection), no_throw);
        co_return;
    }
    ++self->open;
    const std::shared_ptr<void> on_close(nullptr, [self](void*) { --self->open; });
    std::string input;
    bool in_transaction = false;
    while (true) {
        const auto [ec, size] =
            co_await net::async_read_until(socket, net::dynamic_buffer(input), "\r\n", no_throw);
        if (ec) {
            co_return;
        }
        const std::string line = input.substr(0, size - 2);
        input.erase(0, size);
        std::string answer;
        bool is_changed = false;
        if (line.starts_with(dialect.query)) {
            const std::string query = line.substr(dialect.query.size() + 1); // ID TEXT
            const std::string text = query.substr(query.find(' ') + 1);
            self->received.push_back(text);
            const bool is_write = text.starts_with(dialect.write);
            const bool is_commit = text == dialect.commit;
            if ((is_write && self->drops_write_answers) ||
                (is_commit && self->drops_commit_answers)) {
                co_return;
            }
            if (self->answer_delay > clock::duration(0)) {
                net::steady_timer timer(self->acceptor.get_executor(), self->answer_delay);
                co_await timer.async_wait(no_throw);
            }
            const bool is_failed = self->failure.take(text);
            self->log_index += is_write && !is_failed ? 1 : 0;
            const bool is_refused = self->is_replica && text == dialect.begin;
            const bool is_begin = operation_of(dialect, text).starts_with(dialect.begin);
            const bool has_begun = is_begin && !is_refused && !is_failed;
            in_transaction =
                has_begun || (in_transaction && text != dialect.commit && text != dialect.rollback);
            const bool is_read =
                operation_of(dialect, text).starts_with(dialect.read) && !self->row.empty();
            answer = is_read ? fmt::format("{} {}\r\n", dialect.row, self->row) : "";
            if (is_failed) {
                answer = fmt::format("{} {} injected\r\n", dialect.failed, self->failure_code);
            }
            else if (is_refused) {
                answer += fmt::format("{} {} replica\r\n", dialect.failed, dialect.read_only);
            }
            else {
                answer += is_signed(dialect, text) && !self->omits_signatures
                              ? fmt::format("{} s{}\r\n", dialect.complete, self->received.size())
                              : fmt::format("{} -\r\n", dialect.complete);
            }
            if (self->loss.take(text)) {
                continue;
            }
            is_changed = self->changed.take(text);
        }
        answer += fmt::format("{} {} 1.{}\r\n", dialect.ready, in_transaction ? "T" : "I",
                              self->log_index);
        changed_answer sent_answer{std::move(answer)};
        if (is_changed) {
            sent_answer = self->change(std::move(sent_answer.bytes));
        }
        const auto [write_ec, sent] =
            co_await net::async_write(socket, net::buffer(sent_answer.bytes), no_throw);
        if (write_ec || sent_answer.is_last) {
            co_return;
        }
    }
}

line_server::answer_change replace(std::string from, std::string to)
{
    return [from = std::move(from), to = std::move(to)](std::string answer) {
        const std::size_t at = answer.find(from);
        REQUIRE(at != std::string::npos);
        return line_server::changed_answer{answer.replace(at, from.size(), to)};
    };
}

line_server::answer_change send(std::string bytes, bool is_last)
{
    return [bytes = std::move(bytes), is_last](const std::string&) {
        return line_server::changed_answer{bytes, is_last};
    };
}

std::size_t count(const line_server& server, std::string_view query)
{
    return static_cast<std::size_t>(
        std::count(server.received().begin(), server.received().end(), query));
}

} // namespace primrosehead::testing
