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

constexpr clock::duration enough{200};

pooler::server_statement read_of(std::string_view item)
{
    pooler::server_statement made;
    made.id = "id1";
    made.text = fmt::format("GET {}", item);
    return made;
}

} // namespace

TEST_CASE("pooler execution: a transaction's connection is ready before its first statement")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution run(instance.shared, state);
    run.begin(instance.operation(), false);
    state.values["zone"] = "JST"; // set while the connection is looked for
    instance.run(enough);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN"});

    std::optional<line_answer> answer;
    const pooler::server_statement what = read_of("a");
    boost::asio::co_spawn(
        instance.io, [&] { return run.run(what); },
        [&](const std::exception_ptr&, line_answer made) { answer = std::move(made); });
    instance.run(enough);
    REQUIRE(answer.has_value());
    CHECK(!answer->is_error);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN", "SET zone JST", "GET a"});
    CHECK(instance.server.connections() == 1);
}

TEST_CASE(
    "pooler execution: a transaction that ends before its first statement leaves nothing open")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution run(instance.shared, state);
    SUBCASE("after its connection was found")
    {
        run.begin(instance.operation(), false);
        instance.run(enough);
        run.roll_back();
    }
    SUBCASE("while it is looked for")
    {
        run.begin(instance.operation(), false);
        run.roll_back();
    }
    instance.run(enough);
    CHECK(instance.server.received() == std::vector<std::string>{"BEGIN", "ROLLBACK"});

    // The connection serves the next operation.
    std::optional<line_answer> answer;
    const pooler::operation next = instance.operation();
    const pooler::server_statement what = read_of("b");
    boost::asio::co_spawn(
        instance.io, [&] { return run.run_single(next, what); },
        [&](const std::exception_ptr&, line_answer made) { answer = std::move(made); });
    instance.run(enough);
    REQUIRE(answer.has_value());
    CHECK(!answer->is_error);
    CHECK(instance.server.connections() == 1);
}
