// Tests of exchanges whose answers are lost, late or cut off.
#include "line_connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

using namespace primrosehead;

namespace {

namespace net = boost::asio;
using net::ip::tcp;

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
constexpr clock::duration open_timeout{500};
constexpr clock::duration exchange_timeout{60};

// What a server sends once it has received the queries.
struct script {
    std::string greeting = "IDLE I 1.1\r\n";
    std::string unsolicited; // ahead of the queries
    std::string answers;
    bool closes = false;  // after the answers
    bool rejects = false; // closes after the greeting
};

net::awaitable<void> serve(tcp::acceptor& acceptor, script plan)
{
    auto [failed, accepted] = co_await acceptor.async_accept(no_throw);
    tcp::socket socket = std::move(accepted);
    std::string input;
    const auto read_line = [&] {
        return net::async_read_until(socket, net::dynamic_buffer(input), "\r\n", no_throw);
    };
    co_await read_line();
    input.clear();
    co_await net::async_write(socket, net::buffer(plan.greeting + plan.unsolicited), no_throw);
    if (plan.rejects) {
        co_return;
    }
    co_await read_line();
    co_await net::async_write(socket, net::buffer(plan.answers), no_throw);
    if (!plan.closes) {
        co_await net::async_read_until(socket, net::dynamic_buffer(input), "never", no_throw);
    }
}

// Opens a connection to such a server and sends it `count` queries.
class scripted_exchange {
  public:
    explicit scripted_exchange(script plan) : acceptor_(io_, {net::ip::address_v4::loopback(), 0})
    {
        net::co_spawn(io_, serve(acceptor_, std::move(plan)), net::detached);
    }

    // Returns nothing if the connection could not be opened.
    std::optional<line_exchange> run(std::size_t count,
                                     std::optional<session_state> last_state = std::nullopt,
                                     clock::duration timeout = exchange_timeout)
    {
        net::co_spawn(io_, work(count, last_state, timeout), net::detached);
        while (!is_finished_ && io_.run_one_for(std::chrono::seconds(2)) > 0) {
        }
        return std::move(outcome_);
    }
    [[nodiscard]] const std::string& rejection() const { return rejection_; }

  private:
    net::awaitable<void> work(std::size_t count, std::optional<session_state> last_state,
                              clock::duration timeout)
    {
        const std::string address = fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
        const std::string startup = "OPEN g org i-1\r\n";
        line_connection::open_result opened = co_await line_connection::open(
            io_.get_executor(), dialect_, address, startup, clock::now() + open_timeout);
        if (const auto* const failed = std::get_if<open_failure>(&opened)) {
            rejection_ = failed->code;
        }
        else {
            const auto connection = std::move(std::get<0>(opened));
            net::steady_timer settle(io_, std::chrono::milliseconds(2));
            co_await settle.async_wait(no_throw);
            std::string queries;
            for (std::size_t i = 0; i < count; ++i) {
                queries += fmt::format("RUN - query-{}\r\n", i);
            }
            outcome_ =
                co_await connection->exchange(queries, count, clock::now() + timeout, last_state);
        }
        is_finished_ = true;
    }

    net::io_context io_{1};
    line_dialect dialect_;
    tcp::acceptor acceptor_;
    std::optional<line_exchange> outcome_;
    std::string rejection_;
    bool is_finished_ = false;
};

line_exchange exchange_with(script plan, std::size_t count = 1,
                            std::optional<session_state> last_state = std::nullopt,
                            clock::duration timeout = exchange_timeout)
{
    scripted_exchange target(std::move(plan));
    std::optional<line_exchange> outcome = target.run(count, last_state, timeout);
    REQUIRE(outcome.has_value());
    return std::move(*outcome);
}

// A server whose answer to the first of two queries is cut off, and that answers the second.
script cut_ahead_of_rollback(std::string_view answer, std::size_t length, bool closes)
{
    script plan;
    plan.answers = fmt::format("{}DONE -\r\nIDLE I 1.12\r\n", answer.substr(0, length));
    plan.closes = closes;
    return plan;
}

} // namespace

// Guards against rows, signatures, codes and positions that are put together from an answer that
// was cut off and the one behind it.
TEST_CASE("line connection: an answer that is cut off anywhere is not taken with what follows it")
{
    const std::string read_answer = "ROW a 1\r\nDONE s1.f0\r\nIDLE T 1.12\r\n";
    const std::string error_answer = "FAIL BUSY i-1\r\nIDLE T 1.12\r\n";
    for (const std::string& whole : {read_answer, error_answer}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            for (const bool closes : {true, false}) {
                CAPTURE(whole.substr(0, length));
                CAPTURE(closes);
                const line_exchange outcome = exchange_with(
                    cut_ahead_of_rollback(whole, length, closes), 2, session_state::idle);
                CHECK(!outcome.is_complete());
                CHECK(outcome.answer_before_rollback() == nullptr);
            }
        }
    }
}

TEST_CASE(
    "line connection: the answer ahead of a ROLLBACK is taken if that of the latter is missing")
{
    const std::string whole = "ROW a 1\r\nDONE s1.f0\r\nIDLE T 1.12\r\n";
    script plan;
    plan.answers = whole;
    plan.closes = true;
    const line_exchange outcome = exchange_with(plan, 2, session_state::idle);
    CHECK(!outcome.is_complete());
    REQUIRE(outcome.answer_before_rollback() != nullptr);
    CHECK(outcome.answer_before_rollback()->rows == std::vector<std::string>{"a 1"});
}

TEST_CASE("line connection: answers that are cut off with their connection are none")
{
    const std::string whole = "ROW a 1\r\nDONE s1.f0\r\nIDLE I 1.12\r\n";
    const std::string refused = "FAIL READONLY i-1\r\nIDLE I 1.12\r\n";
    for (const std::string& answer : {whole, refused}) {
        for (std::size_t length = 0; length < answer.size(); ++length) {
            CAPTURE(answer.substr(0, length));
            script plan;
            plan.answers = answer.substr(0, length);
            plan.closes = true;
            const line_exchange outcome = exchange_with(plan);
            CHECK(outcome.is_broken);
            CHECK(outcome.answers.empty());
        }
    }
}

TEST_CASE("line connection: an answer without one of its fields is malformed")
{
    for (const std::string_view answer :
         {"ROW\r\nDONE s1\r\nIDLE I 1.2\r\n", "DONE\r\nIDLE I 1.2\r\n",
          "DONE s1 x\r\nIDLE I 1.2\r\n", "FAIL\r\nIDLE I 1.2\r\n", "DONE s1\r\nIDLE\r\n",
          "DONE s1\r\nIDLE I\r\n", "DONE s1\r\nIDLE I 1.\r\n", "DONE s1\r\nIDLE I .2\r\n",
          "ROW a\r\nIDLE I 1.2\r\n", "IDLE I 1.2\r\n", "DONE s1\r\nDONE s2\r\nIDLE I 1.2\r\n",
          "FAIL BUSY x\r\nDONE s2\r\nIDLE I 1.2\r\n", "DONE s1\r\nROW a\r\nIDLE I 1.2\r\n"}) {
        CAPTURE(answer);
        script plan;
        plan.answers = answer;
        const line_exchange outcome = exchange_with(plan);
        CHECK(outcome.is_broken);
        CHECK(outcome.answers.empty());
    }
}

TEST_CASE("line connection: a rejection of the startup needs no ready line")
{
    script plan;
    plan.greeting = "FAIL TOOMANY limit\r\n";
    plan.rejects = true;
    scripted_exchange target(plan);
    CHECK(!target.run(1).has_value());
    CHECK(target.rejection() == "TOOMANY");
}

// Guards against a late answer that is taken for that of the next query.
TEST_CASE("line connection: an answer that came before its query is none")
{
    script plan;
    plan.unsolicited = "DONE s0\r\nIDLE T 1.2\r\n";
    plan.answers = "DONE s1\r\nIDLE T 1.3\r\n";
    SUBCASE("alone") {}
    SUBCASE("behind the greeting in one read")
    {
        plan.greeting += std::exchange(plan.unsolicited, {});
    }
    const line_exchange outcome = exchange_with(plan);
    CHECK(outcome.is_broken);
    CHECK(outcome.answers.empty());
}

TEST_CASE("line connection: a large answer that is cut off is none")
{
    constexpr std::size_t row_bytes = 900'000;
    const std::string whole =
        "ROW " + std::string(row_bytes, 'a') + "\r\nDONE s1.f0\r\nIDLE T 1.12\r\n";
    const std::size_t end_of_row = 4 + row_bytes;
    for (const std::size_t length :
         {std::size_t{4}, end_of_row / 2, end_of_row, end_of_row + 1, end_of_row + 2,
          end_of_row + 9, whole.size() - 2, whole.size() - 1}) {
        CAPTURE(length);
        const line_exchange outcome = exchange_with(cut_ahead_of_rollback(whole, length, true), 2,
                                                    session_state::idle, clock::duration(2'000));
        CHECK(!outcome.is_complete());
        CHECK(outcome.answer_before_rollback() == nullptr);
    }
}
