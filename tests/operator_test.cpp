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

pb::operator_reply final_reply(bool is_ok)
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

TEST_CASE("operator: a request is sent next to the leader named in a reply")
{
    operator_exchange exchange = new_exchange();
    CHECK(exchange.next_send(start) == "tcp://c1");
    CHECK_FALSE(exchange.next_send(start).has_value());
    exchange.receive(not_leader_reply("tcp://c3"), start);
    CHECK(exchange.next_send(start) == "tcp://c3");
    exchange.receive(final_reply(true), start);
    CHECK(exchange.state(start) == exchange_state::answered);
    CHECK(exchange.last_reply()->ok());
    CHECK_FALSE(exchange.next_send(start + clock::duration(5'000)).has_value());
}

TEST_CASE("operator: a timeout moves on to the next instance, and a late reply is still final")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    CHECK(exchange.next_send(start) == "tcp://c1");
    CHECK_FALSE(exchange.next_send(start + timing.attempt_timeout / 2).has_value());
    CHECK(exchange.next_send(start + timing.attempt_timeout) == "tcp://c2");
    CHECK(exchange.state(start + timing.attempt_timeout) == exchange_state::in_progress);
    exchange.receive(final_reply(false), start + timing.attempt_timeout);
    CHECK(exchange.state(start + timing.total_timeout) == exchange_state::answered);
    CHECK(exchange.last_reply()->error().kind() == "version_conflict");
}

TEST_CASE("operator: the outcome is unknown if an instance may have accepted the request")
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

TEST_CASE("operator: a request that every contacted instance rejected did not run")
{
    operator_exchange exchange = new_exchange();
    const exchange_timing timing;
    clock::time_point now = start;
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK(exchange.next_send(now).has_value());
        exchange.receive(not_leader_reply(""), now);
        CHECK_FALSE(exchange.next_send(now).has_value());
        now += timing.retry_delay;
    }
    CHECK(exchange.state(start + timing.total_timeout) == exchange_state::not_run);
    const operator_exchange without_endpoints({}, timing, start);
    CHECK(without_endpoints.state(start) == exchange_state::not_run);
}

TEST_CASE(
    "operator: a leader hint to the replying or an unreachable instance does not stop retries")
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

TEST_CASE("operator: documents are compared by path, and array items by name")
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
