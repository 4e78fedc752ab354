#include "pooler_execution.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

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
    instance.start([&] { return execution.run(statement); }, answer);
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
    instance.start([&] { return execution.run_single(next, statement); }, answer);
    instance.run(settle_time);
    REQUIRE(answer.has_value());
    CHECK(!answer->is_error);
    CHECK(instance.server.connections() == 1);
}

namespace {

pooler::acquire_error acquire_with(pooler_fixture& instance, pooler::connection_request request)
{
    request.group = "g";
    request.organisation = "org";
    request.deadline = clock::now() + clock::duration(100);
    std::optional<pooler::acquire_error> error;
    boost::asio::co_spawn(
        instance.io, [&] { return instance.connections.acquire(request); },
        [&](const std::exception_ptr&, pooler::acquire_result acquired) {
            error = acquired.error;
            if (acquired.connection) {
                instance.connections.release(std::move(acquired.connection), true);
            }
        });
    instance.run(settle_time);
    REQUIRE(error.has_value());
    return *error;
}

} // namespace

// Guards against an operation that reaches a server outside its regions, for either role.
TEST_CASE("pooler pool: no connection to a server outside the allowed regions")
{
    pooler_fixture instance;
    instance.confirm(100);
    for (const auto role : {pooler::required_role::any, pooler::required_role::primary}) {
        pooler::connection_request request;
        request.role = role;
        request.regions.restrict_to({"south"});
        instance.connections.set_regions({});
        CHECK(acquire_with(instance, request) == pooler::acquire_error::outside_regions);
        instance.connections.set_regions({{"zone", "north"}});
        CHECK(acquire_with(instance, request) == pooler::acquire_error::outside_regions);
        CHECK(instance.server.connections() == (role == pooler::required_role::any ? 0 : 1));
        instance.connections.set_regions({{"zone", "south"}});
        CHECK(acquire_with(instance, request) == pooler::acquire_error::none);
    }
}

// Guards against an instance that floods a cold server while it does not know the fleet size.
TEST_CASE("pooler pool: a cold server gets nothing before the fleet size is known, then its part")
{
    pooler_fixture instance;
    instance.confirm(100);
    pb::server_announcement cold;
    cold.set_server("server-1");
    cold.set_group("g");
    cold.set_address(instance.server.address());
    cold.set_failure_domain("zone");
    cold.set_slots(2);
    cold.set_is_primary(true);
    cold.set_sequence(2);
    cold.set_warm_up_left_ms(10'000);
    instance.connections.set_servers(std::vector{cold}, true, clock::now());
    const pooler::connection_request request;
    CHECK(acquire_with(instance, request) == pooler::acquire_error::none); // no limit
    instance.connections.set_warm_up("g", 1'000, clock::duration(5'000));
    CHECK(acquire_with(instance, request) == pooler::acquire_error::saturated);
    instance.connections.warm_ups().set_fleet_size(1, clock::now() - clock::duration(2'000));
    instance.run(clock::duration(1'000));
    CHECK(acquire_with(instance, request) == pooler::acquire_error::none);
    cold.set_sequence(3);
    cold.set_warm_up_left_ms(0);
    instance.connections.set_servers(std::vector{cold}, true, clock::now());
    instance.connections.set_warm_up("g", 0.001, clock::duration(5'000));
    CHECK(acquire_with(instance, request) == pooler::acquire_error::none); // warm
    const std::vector<std::string> evacuated{"zone"};
    instance.connections.set_evacuations(evacuated, 1, clock::now());
    instance.connections.set_evacuations({}, 2, clock::now());
    CHECK(acquire_with(instance, request) == pooler::acquire_error::saturated);
}

// Guards against lists of peers and fleet sizes that do not reach the tables that use them.
TEST_CASE("pooler follower: a reply's peers and fleet size are applied, malformed peers are not")
{
    pooler_fixture instance;
    instance.confirm(100);
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(100);
    reply.set_control_term(1);
    reply.set_asked_at_ms(to_ms(clock::now()));
    reply.set_live_instances(7);
    reply.set_peers_revision(5);
    pb::peer_address& peer = *reply.add_peers();
    peer.set_instance("entry-2");
    peer.set_endpoint("tcp://127.0.0.1:7");
    peer.set_failure_domain("zone");
    reply.add_peers()->set_instance("entry-3"); // without endpoint
    instance.control.receive(reply, clock::now());
    CHECK(instance.control.homes().revision() == 5);
    CHECK(instance.control.homes().has_peer("entry-2"));
    CHECK_FALSE(instance.control.homes().has_peer("entry-3"));
    const pooler::warm_up& warm_ups = instance.connections.warm_ups();
    CHECK(warm_ups.fleet_size(clock::now() + clock::duration(2'000)) == 7);
    reply.set_peers_revision(6);
    instance.control.receive(reply, clock::now()); // repeated
    CHECK(instance.control.homes().revision() == 5);
}
