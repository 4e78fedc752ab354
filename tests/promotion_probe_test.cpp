#include "line_server.h"
#include "promotion_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

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
