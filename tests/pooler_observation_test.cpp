#include "pooler_fixture.h"
#include "pooler_observation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{100};
constexpr clock::duration observation_time{500}; // above the timeout of an observation
const std::string open_session = "OPEN db secret\r\n";

// An instance with an idle connection to "server-1", which it knows as the primary.
class observing_instance : public pooler_fixture {
  public:
    observing_instance()
    {
        confirm(100);
        exchange(open_session + "RUN w1 PUT x 1\r\n", settle_time);
        known_at = newest_position_at();
    }

    void observe()
    {
        std::unique_ptr<pooler::pooled_connection> idle =
            connections.take_idle_at_primary("g", clock::now());
        REQUIRE(idle);
        boost::asio::co_spawn(io, pooler::observe_primary(connections, dialect, std::move(idle)),
                              boost::asio::detached);
        run(observation_time);
    }

    // When the position that is known best was asked for.
    std::optional<clock::time_point> newest_position_at()
    {
        return connections.freshness_of("g").newest_request_at();
    }

    std::optional<clock::time_point> known_at;
};

} // namespace

TEST_CASE("pooler observation: the primary's position is recorded and the connection kept")
{
    observing_instance instance;
    instance.observe();
    CHECK(instance.newest_position_at() > instance.known_at);
    instance.exchange(open_session + "RUN r1 GET x\r\n", settle_time);
    CHECK(instance.server.connections() == 1);
}

// Guards against a replica that passes for the primary, and its position for the newest one, since
// the answer to the ROLLBACK behind the refused BEGIN was taken for that of the BEGIN.
TEST_CASE("pooler observation: only the answer of BEGIN tells the primary and its position")
{
    observing_instance instance;
    SUBCASE("the refusal of a server that was demoted is lost")
    {
        instance.server.follow(7);
        instance.server.lose_answers("BEGIN", 1);
    }
    SUBCASE("the answer of the primary is lost")
    {
        instance.server.lose_answers("BEGIN", 1);
    }
    SUBCASE("the answer has no position")
    {
        instance.server.change_answers("BEGIN", send("DONE -\r\nIDLE T -\r\n"), 1);
    }
    SUBCASE("the answer is cut off ahead of the next one")
    {
        instance.server.change_answers("BEGIN", send("DONE -\r\nIDLE T 1.9"), 1);
    }
    SUBCASE("the answer is cut off with its connection")
    {
        instance.server.change_answers("BEGIN", send("DONE -\r\nIDLE T 1.9", true), 1);
    }
    instance.observe();
    CHECK(instance.newest_position_at() == instance.known_at);
    const pooler::primary_sighting seen =
        instance.connections.primary_of("g").sighting(clock::now());
    CHECK((!seen.reached_ago || *seen.reached_ago >= observation_time));
    instance.exchange(open_session + "RUN r1 GET x\r\n", settle_time);
    CHECK(instance.server.connections() == 2); // the connection is in doubt
}

TEST_CASE("pooler observation: a refusal tells that the server is not the primary")
{
    observing_instance instance;
    instance.server.follow(7);
    instance.observe();
    CHECK(instance.newest_position_at() == instance.known_at);
    CHECK(instance.connections.primary_of("g").sighting(clock::now()).server.empty());
}
