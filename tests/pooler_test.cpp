#include "deployment_settings.h"
#include "pooler_freshness.h"
#include "pooler_limits.h"
#include "pooler_placement.h"
#include "pooler_primary.h"
#include "pooler_server.h"
#include "pooler_state.h"
#include "pooler_wait.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <list>
#include <random>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::pooler;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

placement_server idle_server(std::size_t index)
{
    placement_server server;
    server.index = index;
    server.slots = 3;
    server.limit = 3;
    server.running_limit = 3;
    server.latency_ms = 20;
    return server;
}

} // namespace

TEST_CASE("pooler freshness: the oldest observation within the bound gives the lowest position")
{
    freshness_tracker positions;
    CHECK(!positions.position_covering(at(0)));
    positions.record("p", {1, 10}, at(0));
    positions.record("p", {1, 20}, at(500));
    positions.record("p", {1, 30}, at(1'000));
    CHECK(positions.position_covering(at(-100)) == log_position{1, 10});
    CHECK(positions.position_covering(at(1)) == log_position{1, 20});
    CHECK(positions.position_covering(at(501)) == log_position{1, 30});
    CHECK(!positions.position_covering(at(1'001)));
}

TEST_CASE(
    "pooler freshness: a read within its staleness bound sees every earlier acknowledged commit")
{
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        freshness_tracker positions;
        std::uint64_t index = 1;
        std::array<std::uint64_t, 200> index_at{}; // log index, every 10 ms
        for (std::size_t step = 0; step < index_at.size(); ++step) {
            index += random() % 3;
            index_at.at(step) = index;
            if (random() % 4 == 0) {
                positions.record("p", {1, index}, at(static_cast<std::int64_t>(step) * 10));
            }
            const std::size_t bound = random() % 100;
            if (step < bound) {
                continue;
            }
            const auto minimum =
                positions.position_covering(at(static_cast<std::int64_t>(step - bound) * 10));
            if (minimum) {
                CHECK(minimum->index >= index_at.at(step - bound));
            }
        }
    }
}

TEST_CASE("pooler freshness: observations of an earlier primary are discarded")
{
    freshness_tracker positions;
    positions.record("old", {1, 60}, at(0)); // entry 60 was not acknowledged and is lost
    positions.record("new", {1, 59}, at(100));
    CHECK(positions.position_covering(at(0)) == log_position{1, 59});
    positions.record("old", {1, 61}, at(50)); // late answer
    CHECK(positions.position_covering(at(0)) == log_position{1, 59});
}

TEST_CASE("pooler primary: the primary named by control replaces a failing one")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}, {"b", false}});
    CHECK(guess.likely_primary(at(0)) == "a");
    guess.record_primary("a", at(0));
    guess.record_control_report("a", 1, at(10));
    guess.record_unreachable("a", at(1'000));
    guess.record_control_report("b", 2, at(2'000));
    CHECK(guess.likely_primary(at(2'000)) == "b");
    guess.record_control_report("a", 1, at(2'100)); // an older decision
    CHECK(guess.likely_primary(at(2'100)) == "b");
}

TEST_CASE("pooler primary: a new primary under the same generation replaces the old one")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}, {"b", false}});
    guess.record_primary("a", at(0));
    guess.record_control_report("a", 2, at(500)); // decided, but not promoted yet
    guess.record_control_report("b", 2, at(1'000));
    CHECK(guess.likely_primary(at(1'000)) == "b");
}

TEST_CASE("pooler primary: the leader's report of a server that is gone does not hide the others")
{
    primary_tracker guess;
    guess.set_servers({{"old", true}, {"r", false}});
    guess.record_control_report("old", 1, at(0));
    CHECK(guess.likely_primary(at(10)) == "old");
    guess.set_servers({{"new", true}, {"r", false}});
    guess.record_control_report("old", 1, at(1'000));
    CHECK(guess.likely_primary(at(1'010)) == "new");
}

// Guards against a sound primary that is replaced since the answers to single writes were lost.
TEST_CASE("pooler primary: one lost answer to a write does not make the primary fail")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}, {"b", false}});
    guess.record_primary("a", at(0));
    guess.record_write_success(at(500));
    guess.record_write_failure(at(400)); // its timeout has passed
    CHECK(guess.sighting(at(2'400)).failing_for == clock::duration(0));
    guess.record_write_failure(at(600)); // no write was acknowledged since
    CHECK(guess.sighting(at(2'600)).failing_for == clock::duration(2'000));
    guess.record_write_success(at(2'700));
    CHECK(guess.sighting(at(2'700)).failing_for == clock::duration(0));
    guess.record_control_report("b", 2, at(3'000)); // what the old primary did tells nothing
    guess.record_write_failure(at(2'650));
    CHECK(guess.sighting(at(4'650)).failing_for == clock::duration(2'000));
}

TEST_CASE("pooler primary: an unreachable server stays the guess, so that it is retried")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}});
    guess.record_primary("a", at(0));
    guess.record_unreachable("a", at(100));
    CHECK(guess.likely_primary(at(60'000)) == "a");
    CHECK(guess.sighting(at(1'100)).failing_for == clock::duration(1'000));
    guess.record_primary("a", at(1'200));
    CHECK(guess.sighting(at(1'300)).failing_for == clock::duration(0));
}

TEST_CASE("pooler primary: after a refusal another server is guessed")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}, {"b", false}});
    guess.record_primary("a", at(0));
    guess.record_refusal("a", at(10));
    CHECK(guess.likely_primary(at(11)) == "b");
    guess.record_refusal("b", at(12));
    CHECK(guess.likely_primary(at(13)).empty());
    CHECK(guess.likely_primary(at(200)) == "a");
}

TEST_CASE("pooler primary: unanswered writes count as failures although reads succeed")
{
    primary_tracker guess;
    guess.set_servers({{"a", true}});
    guess.record_primary("a", at(0));
    guess.record_write_failure(at(100));
    guess.record_primary("a", at(900));
    CHECK(guess.sighting(at(1'700)).failing_for == clock::duration(1'600));
    guess.record_write_success(at(1'800));
    CHECK(guess.sighting(at(1'800)).failing_for == clock::duration(0));
}

TEST_CASE(
    "pooler placement: an idle connection of the organisation is preferred to a faster server")
{
    std::array servers{idle_server(0), idle_server(1)};
    servers[0].latency_ms = 25;
    servers[0].idle_matching = 1;
    const auto placed = choose_placement(servers);
    REQUIRE(placed);
    CHECK(placed->index == 0);
    CHECK(placed->choice == connection_choice::matching);
}

TEST_CASE("pooler placement: a much slower server loses despite its matching connection")
{
    std::array servers{idle_server(0), idle_server(1)};
    servers[0].latency_ms = 120;
    servers[0].idle_matching = 1;
    CHECK(choose_placement(servers)->index == 1);
}

TEST_CASE(
    "pooler placement: a new connection elsewhere is preferred to replacing one at a full server")
{
    std::array servers{idle_server(0), idle_server(1)};
    servers[0].open = 3;
    servers[0].idle_other_organisation = 1;
    CHECK(choose_placement(servers)->index == 1);
    CHECK(choose_placement(servers)->choice == connection_choice::open_new);
    servers[1].open = 3;
    CHECK(choose_placement(servers)->index == 0);
    CHECK(choose_placement(servers)->choice == connection_choice::replace_idle);
    servers[0].idle_other_organisation = 0;
    CHECK(!choose_placement(servers));
}

TEST_CASE("pooler placement: reads use the primary only when replicas are saturated")
{
    std::array<placement_server, 2> servers{idle_server(0), idle_server(1)};
    servers[0].avoid_as_primary = true; // the primary
    servers[0].is_local = true;
    servers[0].idle_matching = 1;
    servers[1].idle_matching = 1;
    CHECK(choose_placement(servers)->index == 1);
    servers[1].running = 3;
    servers[1].running_limit = 4;
    CHECK(choose_placement(servers)->index == 0);
}

TEST_CASE("pooler placement: the limit of running statements is enforced")
{
    std::array servers{idle_server(0)};
    servers[0].idle_matching = 2;
    servers[0].running = 3;
    CHECK(!choose_placement(servers));
}

TEST_CASE("pooler server: the running limit drops to one while statements queue at the server")
{
    pooled_server server;
    server.slots = 3;
    for (int i = 0; i < 50; ++i) {
        server.record_latency(20, at(std::int64_t{10} * i));
    }
    CHECK(server.running_limit(at(500)) == 3);
    for (int i = 0; i < 20; ++i) {
        server.record_latency(200, at(500 + std::int64_t{10} * i));
    }
    CHECK(server.running_limit(at(700)) == 1);
    // A slow server is retried, because old measurements lose weight.
    CHECK(server.running_limit(at(20'000)) == 3);
}

// Guards against the learned concurrency taking effect without its setting, or not at all with it.
TEST_CASE("pooler server: the running limit follows the learned concurrency if it is enabled")
{
    pooled_server server;
    server.slots = 5;
    const auto answer_busy = [&](std::int64_t begin) {
        for (std::int64_t count = 0; count < 20; ++count) {
            const auto now = at(begin + 100 * count);
            server.record_exchange(1, admission::outcome::busy, now, now);
        }
    };
    answer_busy(0);
    CHECK(server.running_limit(at(2'000)) == 5);
    server.pace.emplace(server.slots);
    CHECK(server.running_limit(at(2'000)) == 5);
    answer_busy(2'000);
    CHECK(server.running_limit(at(4'000)) == 1);
}

// Guards against the setting being rejected, ignored, or on by default.
TEST_CASE("pooler settings: the learned concurrency is off unless it is enabled")
{
    const std::string required =
        R"({"instance":"e1","failure_domain":"d1","host":"127.0.0.1","bus_port":7000,"control":["127.0.0.1:7001"],
            "listen":"127.0.0.1:7002","readiness_listen":"127.0.0.1:7003")";
    const auto without = parse_pooler_settings(required + "}");
    const auto with = parse_pooler_settings(required + R"(,"learned_concurrency":true})");
    REQUIRE(ok(without));
    REQUIRE(ok(with));
    CHECK(!value(without).learns_concurrency);
    CHECK(value(with).learns_concurrency);
    CHECK(!ok(parse_pooler_settings(required + R"(,"learned_concurrency":1})")));
}

TEST_CASE("pooler server: the avoidance time grows with failures and a success resets it")
{
    pooled_server server;
    server.record_failure(at(0), true);
    CHECK(server.is_avoided(at(99)));
    CHECK(!server.is_avoided(at(100)));
    server.record_failure(at(100), true);
    CHECK(server.is_avoided(at(299)));
    for (int i = 0; i < 20; ++i) {
        server.record_failure(at(300), true);
    }
    CHECK(!server.is_avoided(at(1'800)));
    server.record_success();
    CHECK(!server.is_avoided(at(301)));
}

namespace {

// Simulates a primary of two slots under 1.6 times its capacity. A refused connection costs an
// operation another attempt.
struct overload_result {
    int served = 0;
    int refused = 0;
    clock::duration longest_wait{0}; // of the refused operations
};

overload_result simulate_overload(std::uint64_t seed)
{
    constexpr clock::duration objective{200};
    constexpr clock::duration service_time{14};
    constexpr std::int64_t simulated_ms = 20'000;
    struct waiting_operation {
        clock::time_point began_at;
        wait_budget budget;
    };
    std::mt19937_64 random(seed);
    std::list<waiting_operation> queue;
    std::array<clock::time_point, 2> free_at{at(0), at(0)};
    overload_result result;
    for (std::int64_t ms = 0; ms < simulated_ms; ++ms) {
        const clock::time_point now = at(ms);
        if (random() % 1'000 < 229) { // 1.6 * 2 slots / 14 ms
            queue.push_back({now, wait_budget(now, now, objective, clock::duration(1'000))});
        }
        for (clock::time_point& slot : free_at) {
            if (slot > now || queue.empty()) {
                continue;
            }
            const bool was_connection_refused =
                random() % 4 == 0; // the operation keeps waiting within its budget
            if (!was_connection_refused) {
                queue.pop_front();
                ++result.served;
                slot = now + service_time;
            }
        }
        for (auto each = queue.begin(); each != queue.end();) {
            if (each->budget.deadline(false, now) > now) {
                ++each;
                continue;
            }
            ++result.refused;
            result.longest_wait = std::max(result.longest_wait, now - each->began_at);
            each = queue.erase(each);
        }
    }
    return result;
}

} // namespace

TEST_CASE("pooler wait: an overloaded primary keeps its slots busy and refuses early")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const overload_result result = simulate_overload(seed);
        CHECK(result.longest_wait <= clock::duration(50)); // a quarter of the objective
        CHECK(result.served >= 0.95 * 2 * 20'000 / 14);
        CHECK(result.refused > 0);
    }
}

TEST_CASE("pooler wait: an operation that reached a server gets another wait budget")
{
    const wait_budget budget(at(0), at(0), clock::duration(200), clock::duration(1'000));
    CHECK(budget.deadline(false, at(30)) == at(40));
    CHECK(budget.deadline(true, at(100)) == at(140));
}

TEST_CASE("pooler limits: an expired share is void")
{
    limiter limits(at(0));
    limits.set_limits(100, 100, {}, 0);
    limits.set_share(1'000'000, at(0));
    CHECK(limits.try_take(at(1)));
    limits.drop_share(at(2));
    CHECK(!limits.try_take(at(3)));
    CHECK(limits.needs_share());
    limits.set_share(500'000, at(4)); // not refilled at once
    CHECK(!limits.try_take(at(5)));
    CHECK(limits.try_take(at(100)));
}

TEST_CASE("pooler limits: a share applies to both rate and burst")
{
    limiter limits(at(0));
    limits.set_limits(100, 100, {}, 0);
    CHECK(!limits.try_take(at(0)));
    limits.set_share(100'000, at(0));
    int taken = 0;
    while (limits.try_take(at(0))) {
        ++taken;
    }
    CHECK(taken == 10);
    CHECK(!limits.try_take(at(90)));
    CHECK(limits.try_take(at(100)));
    CHECK(limits.retry_after() == clock::duration(100));
}

TEST_CASE("pooler limits: unused tokens are refunded, and granted tokens are spent first")
{
    limiter limits(at(0));
    limits.set_limits(10, 10, {}, 0);
    limits.set_share(100'000, at(0));
    CHECK(limits.try_take(at(0)));
    CHECK(!limits.try_take(at(0)));
    limits.return_token();
    CHECK(limits.try_take(at(0)));
    limits.add_granted_tokens(2, at(10));
    CHECK(limits.try_take(at(11)));
    CHECK(limits.try_take(at(12)));
    CHECK(!limits.try_take(at(13)));
    limits.add_granted_tokens(1, at(20));
    CHECK(!limits.try_take(at(521))); // the grant has expired
}

TEST_CASE("pooler limits: without the leader an instance also uses its share of the leader's part")
{
    limiter limits(at(0));
    limits.set_limits(100, 100, {0.2, 0.2}, 0);
    limits.set_share(500'000, at(0));
    int taken = 0;
    while (limits.try_take(at(0))) {
        ++taken;
    }
    CHECK(taken == 10);
    limits.set_isolated(true, at(0));
    CHECK(!limits.try_take(at(0))); // the added capacity fills gradually
    taken = 0;
    for (std::int64_t now = 1; now <= 1'000; ++now) {
        taken += limits.try_take(at(now)) ? 1 : 0;
    }
    CHECK(taken >= 49);
    CHECK(taken <= 50);
    limits.set_isolated(false, at(1'000));
    CHECK(limits.retry_after() <= clock::duration(100));
}

TEST_CASE("pooler limits: tokens granted in advance fill up the capacity")
{
    limiter limits(at(0));
    limits.set_limits(10, 10, {0, 0.6}, 0);
    limits.set_share(500'000, at(0)); // a capacity of three
    CHECK(limits.missing_tokens(at(0)) == 0);
    CHECK(limits.try_take(at(0)));
    CHECK(limits.try_take(at(0)));
    CHECK(limits.missing_tokens(at(1)) == 2);
    limits.add_granted_tokens(2, at(10));
    CHECK(limits.missing_tokens(at(11)) == 0);
    int taken = 0;
    while (limits.try_take(at(2'000))) { // these do not expire
        ++taken;
    }
    CHECK(taken == 3);
}

TEST_CASE("pooler limits: the tolerated excess is added to the share")
{
    limiter limits(at(0));
    limits.set_limits(10, 10, {}, 2);
    limits.set_share(100'000, at(0));
    int taken = 0;
    while (limits.try_take(at(0))) {
        ++taken;
    }
    CHECK(taken == 3);
}

TEST_CASE("pooler state: prepare_connection applies the session's state to a connection")
{
    const line_dialect words;
    pooled_connection connection;
    session_context session;
    session.values = {{"lang", "ja"}, {"zone", "9"}};
    prepared_statement prepared;
    prepared.is_write = true;
    prepared.shape = "q2c";
    prepared.pool_name = pooled_statement_name(true, "q2c");
    const setup_queries first = make_setup_queries(connection, session, &prepared, false, words);
    CHECK(first.count == 3);
    CHECK(first.queries == "RUN - SET lang ja\r\nRUN - SET zone 9\r\nRUN - PREPARE " +
                               prepared.pool_name + " PUT q2c\r\n");
    record_setup(connection, session, &prepared, false);
    CHECK(make_setup_queries(connection, session, &prepared, false, words).count == 0);

    // Another session's value can only be removed by resetting all values.
    session_context other;
    other.values = {{"lang", "ar"}};
    const setup_queries second = make_setup_queries(connection, other, &prepared, false, words);
    CHECK(second.queries == "RUN - RESET\r\nRUN - SET lang ar\r\nRUN - PREPARE " +
                                prepared.pool_name + " PUT q2c\r\n");
    record_setup(connection, other, &prepared, false);
    CHECK(connection.values == other.values);
    CHECK(connection.prepared.size() == 1);
}

TEST_CASE("pooler state: pool names differ by kind and shape")
{
    CHECK(pooled_statement_name(true, "q") != pooled_statement_name(false, "q"));
    CHECK(pooled_statement_name(true, "q") != pooled_statement_name(true, "r"));
    CHECK(pooled_statement_name(true, "q") == pooled_statement_name(true, "q"));
}

// Guards against a client that runs another client's statement under a name that both prepared.
TEST_CASE("pooler state: shapes that collide under a 64-bit hash have names of their own")
{
    CHECK(pooled_statement_name(false, "q-qkvmgpyhnlzyd") !=
          pooled_statement_name(false, "q-6lai3fu6gm2xe"));
}
