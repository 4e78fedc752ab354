#include "operator_diff.h"
#include "operator_exchange.h"

#include <primrosehead/error.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point start{clock::duration(1'000)};
const std::vector<std::string> endpoints{"tcp://c1", "tcp://c2", "tcp://c3"};

pb::operator_reply not_leader_reply(std::string_view hint)
{
    pb::operator_reply reply;
    reply.set_not_leader(true);
    reply.set_leader_hint(std::string(hint));
    reply.mutable_error()->set_kind("not_leader");
    reply.mutable_error()->set_ran("no");
    return reply;
}

pb::operator_reply settled(bool is_ok)
{
    pb::operator_reply reply;
    reply.set_ok(is_ok);
    if (!is_ok) {
        reply.mutable_error()->set_kind("version_conflict");
        reply.mutable_error()->set_ran("no");
    }
    return reply;
}

operator_exchange new_exchange()
{
    return {endpoints, exchange_timing{}, start};
}

} // namespace

TEST_CASE("operator: a request follows the leader that is named")
{
    operator_exchange exchange = new_exchange();
    CHECK(exchange.next_send(start) == "tcp://c1");
    CHECK_FALSE(exchange.next_send(start).has_value());
    exchange.receive(not_leader_reply("tcp://c3"), start);
    CHECK(exchange.next_send(start) == "tcp://c3");
    exchange.receive(settled(true), start);
    CHECK(exchange.state(start) == exchange_state::answered);
    CHECK(exchange.last_reply()->ok());
    CHECK_FALSE(exchange.next_send(start + clock::duration(5'000)).has_value());
}

TEST_CASE("operator: silence leads to the next instance, a late answer still settles")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    CHECK(exchange.next_send(start) == "tcp://c1");
    CHECK_FALSE(exchange.next_send(start + timing.attempt_timeout / 2).has_value());
    CHECK(exchange.next_send(start + timing.attempt_timeout) == "tcp://c2");
    CHECK(exchange.state(start + timing.attempt_timeout) == exchange_state::in_progress);
    exchange.receive(settled(false), start + timing.attempt_timeout);
    CHECK(exchange.state(start + timing.total_timeout) == exchange_state::answered);
    CHECK(exchange.last_reply()->error().kind() == "version_conflict");
}

TEST_CASE("operator: a request that an instance may have taken has an unknown outcome")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    CHECK(exchange.next_send(start).has_value());
    CHECK(exchange.state(start + timing.total_timeout) == exchange_state::unknown);

    operator_exchange lost_quorum = new_exchange();
    CHECK(lost_quorum.next_send(start).has_value());
    pb::operator_reply reply;
    reply.mutable_error()->set_kind("no_quorum");
    reply.mutable_error()->set_ran("unknown");
    lost_quorum.receive(reply, start);
    CHECK(lost_quorum.state(start) == exchange_state::in_progress);
    CHECK(lost_quorum.next_send(start + timing.retry_delay) == "tcp://c2");
    lost_quorum.receive(not_leader_reply(""), start + timing.retry_delay);
    CHECK(lost_quorum.state(start + timing.total_timeout) == exchange_state::unknown);
}

TEST_CASE("operator: a request that every asked instance turned away did not run")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    clock::time_point now = start;
    for (int asked = 0; asked < 3; ++asked) {
        CHECK(exchange.next_send(now).has_value());
        exchange.receive(not_leader_reply(""), now);
        CHECK_FALSE(exchange.next_send(now).has_value());
        now += timing.retry_delay;
    }
    CHECK(exchange.state(start + timing.total_timeout) == exchange_state::not_run);
    const operator_exchange nobody({}, timing, start);
    CHECK(nobody.state(start) == exchange_state::not_run);
}

TEST_CASE("operator: an instance that names itself or a silent one does not stop the turn")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    CHECK(exchange.next_send(start) == "tcp://c1");
    exchange.receive(not_leader_reply("tcp://c1"), start);
    CHECK_FALSE(exchange.next_send(start).has_value());
    CHECK(exchange.next_send(start + timing.retry_delay) == "tcp://c2");
    exchange.receive(not_leader_reply("tcp://gone"), start + timing.retry_delay);
    CHECK(exchange.next_send(start + timing.retry_delay) == "tcp://gone");
    CHECK(exchange.next_send(start + timing.retry_delay + timing.attempt_timeout) == "tcp://c3");
}

TEST_CASE("operator: documents are compared by path, lists by name")
{
    const auto changes = diff_documents(
        R"({"routes":[{"name":"a","timeout_ms":5},{"name":"b"}],"databases":[]})",
        R"({ "databases": [], "routes": [{"name":"c"},{"name":"a","timeout_ms":6}] })");
    REQUIRE(ok(changes));
    REQUIRE(value(changes).size() == 3);
    CHECK(value(changes)[0].path == "$.routes[a].timeout_ms");
    CHECK(value(changes)[0].before == "5");
    CHECK(value(changes)[0].after == "6");
    CHECK(value(changes)[1].path == "$.routes[b]");
    CHECK(value(changes)[1].after.empty());
    CHECK(value(changes)[2].path == "$.routes[c]");
    CHECK(value(changes)[2].before.empty());
    CHECK(value(diff_documents("{}", "")).empty());
    CHECK_FALSE(ok(diff_documents("{", "{}")));
}
