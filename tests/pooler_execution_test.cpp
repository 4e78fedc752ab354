#include "pooler_execution.h"
#include "pooler_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{200};

pooler::server_statement make_read(std::string_view item)
{
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = fmt::format("GET {}", item);
    return statement;
}

} // namespace

TEST_CASE("pooler execution: begin acquires the transaction's connection in the background")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution execution(instance.shared, state);
    execution.begin(instance.operation(), false);
    state.values["zone"] = "JST"; // set while the connection is being acquired
    instance.run(settle_time);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN"});

    std::optional<line_answer> answer;
    const pooler::server_statement statement = make_read("a");
    boost::asio::co_spawn(
        instance.io, [&] { return execution.run(statement); },
        [&](const std::exception_ptr&, line_answer received) { answer = std::move(received); });
    instance.run(settle_time);
    REQUIRE(answer.has_value());
    CHECK(!answer->is_error);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN", "SET zone JST", "GET a"});
    CHECK(instance.server.connections() == 1);
}

TEST_CASE("pooler execution: rollback before the first statement releases the connection")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution execution(instance.shared, state);
    SUBCASE("after the connection was acquired")
    {
        execution.begin(instance.operation(), false);
        instance.run(settle_time);
        execution.roll_back();
    }
    SUBCASE("while the connection is being acquired")
    {
        execution.begin(instance.operation(), false);
        execution.roll_back();
    }
    instance.run(settle_time);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN", "ROLLBACK"});

    // The next operation reuses the connection.
    std::optional<line_answer> answer;
    const pooler::operation next = instance.operation();
    const pooler::server_statement statement = make_read("b");
    boost::asio::co_spawn(
        instance.io, [&] { return execution.run_single(next, statement); },
        [&](const std::exception_ptr&, line_answer received) { answer = std::move(received); });
    instance.run(settle_time);
    REQUIRE(answer.has_value());
    CHECK(!answer->is_error);
    CHECK(instance.server.connections() == 1);
}
