#include "line_server.h"
#include "promotion_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace primrosehead;

namespace {

namespace net = boost::asio;

net::awaitable<void> execute(promotion::probe& target, std::string statement,
                             std::optional<promotion::status_answer>& answer)
{
    answer = co_await target.execute(statement);
}

} // namespace

// A control leader that stood still sent its orders after another one had been elected.
TEST_CASE("promotion probe: an order that is outdated before it can be sent is not sent")
{
    net::io_context context;
    const line_dialect dialect;
    testing::line_server server(context.get_executor());
    server.delay_answers(clock::duration(100));
    promotion::probe target(context.get_executor(), dialect, "kura", "i-1", server.address());
    std::optional<promotion::status_answer> status;
    std::optional<promotion::status_answer> resumed;
    net::co_spawn(context, execute(target, std::string(dialect.status), status), net::detached);
    net::co_spawn(context, execute(target, std::string(dialect.resume), resumed), net::detached);
    context.run_for(std::chrono::milliseconds(50));
    REQUIRE(!resumed.has_value());
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // the process stands still
    context.run_for(std::chrono::milliseconds(300));
    REQUIRE(resumed.has_value());
    CHECK(resumed->result == promotion::probe_result::not_sent);
    CHECK(std::count(server.received().begin(), server.received().end(), dialect.resume) == 0);
}

// Guards against a replica that is taken for the primary since the ROLLBACK behind the refused
// BEGIN succeeded.
TEST_CASE("promotion probe: a server whose answer to BEGIN is lost is not taken for the primary")
{
    net::io_context context;
    const line_dialect dialect;
    testing::line_server server(context.get_executor());
    server.follow(7);
    server.lose_answers("BEGIN");
    promotion::probe target(context.get_executor(), dialect, "kura", "i-1", server.address());
    std::optional<promotion::primary_answer> answer;
    net::co_spawn(
        context, [&]() -> net::awaitable<void> { answer = co_await target.check_primary(); },
        net::detached);
    context.run_for(std::chrono::milliseconds(600));
    REQUIRE(answer.has_value());
    CHECK(answer->result == promotion::probe_result::silent);
}

namespace {

constexpr std::chrono::milliseconds probe_time{600}; // above the timeout of a request

promotion::primary_answer check_primary(net::io_context& context, const line_dialect& dialect,
                                        const testing::line_server& server)
{
    promotion::probe target(context.get_executor(), dialect, "kura", "i-1", server.address());
    std::optional<promotion::primary_answer> answer;
    net::co_spawn(
        context, [&]() -> net::awaitable<void> { answer = co_await target.check_primary(); },
        net::detached);
    context.run_for(probe_time);
    REQUIRE(answer.has_value());
    return *answer;
}

} // namespace

// Guards against a server that is taken for one that is down, or for a primary at the start of its
// log, since the answer to a check broke off or was not one.
TEST_CASE("promotion probe: a check whose answer is cut off or garbled tells nothing")
{
    net::io_context context;
    const line_dialect dialect;
    testing::line_server server(context.get_executor());
    SUBCASE("cut off with its connection")
    {
        server.change_answers("BEGIN", testing::send("DONE -\r\nIDLE T", true));
    }
    SUBCASE("closed without an answer")
    {
        server.change_answers("BEGIN", testing::send("", true));
    }
    SUBCASE("garbled")
    {
        server.change_answers("BEGIN", testing::send("DO"));
    }
    SUBCASE("without a position")
    {
        server.change_answers("BEGIN", testing::send("DONE -\r\nIDLE T -\r\n"));
    }
    SUBCASE("a refusal that is cut off")
    {
        server.change_answers("BEGIN", testing::send("FAIL READONLY i-1\r\n", true));
    }
    CHECK(check_primary(context, dialect, server).result == promotion::probe_result::silent);
}

// Guards against orders that count as obeyed, and roles and positions that count as told, from an
// answer that was lost, failed or belongs to another query.
TEST_CASE("promotion probe: only a status answers an order or a status request")
{
    net::io_context context;
    const line_dialect dialect;
    testing::line_server server(context.get_executor());
    const std::string row = "ROW replica 3 3.9 4 0 0 1\r\n";
    const std::string idle = "IDLE I 3.9\r\n";
    std::string statement;
    SUBCASE("STATUS")
    {
        statement = dialect.status;
    }
    SUBCASE("PAUSE")
    {
        statement = "PAUSE 4";
    }
    SUBCASE("RESUME")
    {
        statement = dialect.resume;
    }
    SUBCASE("STEPDOWN")
    {
        statement = "STEPDOWN 4";
    }
    const auto answer_to = [&](testing::line_server::answer_change change) {
        server.change_answers(statement, std::move(change));
        promotion::probe target(context.get_executor(), dialect, "kura", "i-1", server.address());
        std::optional<promotion::status_answer> answer;
        net::co_spawn(context, execute(target, statement, answer), net::detached);
        context.restart();
        context.run_for(probe_time);
        REQUIRE(answer.has_value());
        return *answer;
    };
    using promotion::probe_result;
    const promotion::status_answer told = answer_to(testing::send(row + "DONE -\r\n" + idle));
    CHECK(told.result == probe_result::answered);
    CHECK(told.status.term_held == 4);
    const std::string standby = "ROW standby 3 3.9 4 0 0 1\r\n";
    for (const std::string& bytes :
         {fmt::format("{}FAIL BUSY full\r\n{}", row, idle),
          fmt::format("{}DONE s1\r\n{}", row, idle), fmt::format("{}DONE -\r\nIDLE T 3.9\r\n", row),
          fmt::format("{0}{0}DONE -\r\n{1}", row, idle), fmt::format("DONE -\r\n{}", idle),
          fmt::format("{}DONE -\r\n{}", standby, idle), fmt::format("{}DONE -\r\n", row)}) {
        CAPTURE(bytes);
        CHECK(answer_to(testing::send(bytes, true)).result == probe_result::silent);
    }
}

TEST_CASE("promotion probe: an order that is not sent has no code of an earlier attempt")
{
    net::io_context context;
    const line_dialect dialect;
    testing::line_server server(context.get_executor());
    server.limit_connections(0);
    promotion::probe target(context.get_executor(), dialect, "kura", "i-1", server.address());
    std::optional<promotion::status_answer> rejected;
    std::optional<promotion::status_answer> unsent;
    net::co_spawn(context, execute(target, std::string(dialect.status), rejected), net::detached);
    context.run_for(std::chrono::milliseconds(100));
    REQUIRE(rejected.has_value());
    CHECK(rejected->code == dialect.too_many);
    server.limit_connections(9);
    server.delay_answers(clock::duration(100));
    std::optional<promotion::status_answer> first;
    net::co_spawn(context, execute(target, std::string(dialect.status), first), net::detached);
    net::co_spawn(context, execute(target, std::string(dialect.resume), unsent), net::detached);
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    std::this_thread::sleep_for(std::chrono::milliseconds(500)); // the process stands still
    context.run_for(std::chrono::milliseconds(300));
    REQUIRE(unsent.has_value());
    CHECK(unsent->result == promotion::probe_result::not_sent);
    CHECK(unsent->code.empty());
}
