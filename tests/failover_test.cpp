#include "failover_choice.h"

#include <primrosehead/failover.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace primrosehead;
using namespace primrosehead::failover;

namespace {

// A planner for the servers a, b and c, with a replicated state that commits every order at once.
struct failover_fixture {
    clock::time_point now = from_ms(10'000);
    planner_settings settings;
    failover::planner planner{database_name("kura-ledger-1"), settings, now};
    group_view group;
    bool old_leases_ended = true;
    bool reports_terms = true; // reports carry the promised term
    std::vector<order> orders;

    void send_report(const char* server, log_position received, bool leaving = false)
    {
        member_report report;
        report.server = server_name(server);
        report.url = std::string("http://") + server;
        report.reported_at = now;
        report.received = received;
        report.term = reports_terms ? group.term : 0;
        report.is_primary = group.primary == report.server;
        report.is_leaving = leaving;
        planner.on_report(report);
    }

    void advance() { orders = planner.advance(group, old_leases_ended, now); }

    template <class Order>
    [[nodiscard]] std::vector<Order> orders_of() const
    {
        std::vector<Order> matching;
        for (const order& each : orders) {
            if (const auto* matching_order = std::get_if<Order>(&each)) {
                matching.push_back(*matching_order);
            }
        }
        return matching;
    }

    void close_term()
    {
        advance();
        REQUIRE(orders_of<failover::close_term>().size() == 1);
        group.term = orders_of<failover::close_term>().front().new_term;
        group.primary.reset();
        ++group.version;
        advance();
    }

    void finish(const char* server, std::uint64_t start_index)
    {
        REQUIRE(orders_of<promote_server>().size() == 1);
        CHECK(orders_of<promote_server>().front().server == server_name(server));
        planner.on_promoted(server_name(server), group.term, start_index);
        advance();
        REQUIRE(orders_of<open_term>().size() == 1);
        CHECK(orders_of<open_term>().front().start_index == start_index);
        group.primary = server_name(server);
        group.term_starts.push_back({group.term, start_index});
        ++group.version;
        advance();
        CHECK(planner.phase() == "steady");
    }

    void fence(const char* server, log_position received)
    {
        planner.on_fenced(server_name(server), group.term, received);
    }

    void report_all(log_position received)
    {
        send_report("a", received);
        send_report("b", received);
        send_report("c", received);
    }

    void start_group()
    {
        report_all({0, 0});
        close_term();
        fence("a", {0, 0});
        fence("b", {0, 0});
        fence("c", {0, 0});
        advance();
        finish("a", 0);
    }

    void advance_clock(clock::duration elapsed) { now += elapsed; }
};

} // namespace

TEST_CASE("failover: the fence quorum is a majority with a copy of every acknowledged write")
{
    CHECK(fence_quorum(1) == 1);
    CHECK(fence_quorum(2) == 2);
    CHECK(fence_quorum(3) == 2);
    CHECK(fence_quorum(4) == 3);
    CHECK(fence_quorum(5) == 4);
}

TEST_CASE("failover: a new group waits for its members before its first promotion")
{
    failover_fixture fixture;
    fixture.send_report("a", {0, 0});
    fixture.send_report("b", {0, 0});
    fixture.advance();
    CHECK(fixture.orders.empty());
    fixture.start_group();
    CHECK(fixture.group.term == 1);
}

TEST_CASE("failover: an unresponsive primary is replaced by the most advanced member")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("b", {1, 9});
    fixture.send_report("c", {1, 12});
    fixture.old_leases_ended = false;
    fixture.close_term();
    CHECK(fixture.planner.phase() == "waiting");
    CHECK(fixture.orders.empty());
    fixture.old_leases_ended = true;
    fixture.advance();
    CHECK(fixture.orders_of<fence_server>().size() == 2);
    fixture.fence("b", {1, 9});
    fixture.advance();
    CHECK(fixture.orders_of<promote_server>().empty());
    fixture.fence("c", {1, 12});
    fixture.advance();
    fixture.finish("c", 12);
    CHECK(fixture.group.term == 2);
}

TEST_CASE("failover: a primary that reports another role is replaced, one without a term is not")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.reports_terms = false;
    fixture.advance_clock(clock::duration(1'500));
    fixture.report_all({1, 9});
    fixture.advance();
    CHECK(fixture.orders.empty());
    fixture.group.primary = server_name("b");
    fixture.report_all({1, 9});
    fixture.group.primary = server_name("a");
    fixture.advance();
    CHECK(fixture.orders_of<failover::close_term>().size() == 1);
}

TEST_CASE("failover: an unresponsive primary stays while too few members are live to fence it")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("b", {1, 9});
    fixture.advance();
    CHECK(fixture.planner.phase() == "steady");
}

TEST_CASE("failover: unanswered orders are sent again")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("b", {1, 9});
    fixture.send_report("c", {1, 12});
    fixture.close_term();
    CHECK(fixture.orders_of<fence_server>().size() == 2);
    fixture.fence("b", {1, 9});
    fixture.advance_clock(fixture.settings.retry_interval);
    fixture.send_report("c", {1, 12});
    fixture.advance();
    REQUIRE(fixture.orders_of<fence_server>().size() == 1);
    CHECK(fixture.orders_of<fence_server>().front().server == server_name("c"));
}

TEST_CASE("failover: an unanswered promotion is followed by one with a higher term")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("b", {1, 9});
    fixture.send_report("c", {1, 12});
    fixture.close_term();
    fixture.fence("b", {1, 9});
    fixture.fence("c", {1, 12});
    fixture.advance();
    CHECK(fixture.orders_of<promote_server>().size() == 1);
    fixture.advance_clock(fixture.settings.retry_interval);
    fixture.advance();
    CHECK(fixture.orders_of<promote_server>().size() == 1);
    fixture.advance_clock(fixture.settings.retry_interval);
    fixture.send_report("a", {1, 14});
    fixture.send_report("b", {1, 9});
    fixture.advance();
    REQUIRE(fixture.orders_of<failover::close_term>().size() == 1);
    CHECK(fixture.orders_of<failover::close_term>().front().new_term == 3);
}

TEST_CASE("failover: a refusal with a higher term restarts with a term above it")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("b", {1, 9});
    fixture.send_report("c", {1, 12});
    fixture.close_term();
    fixture.planner.on_refused(server_name("b"), 7);
    fixture.advance();
    REQUIRE(fixture.orders_of<failover::close_term>().size() == 1);
    CHECK(fixture.orders_of<failover::close_term>().front().new_term == 8);
}

TEST_CASE("failover: a leaving primary is replaced once a replica has caught up")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("a", {1, 20}, true);
    fixture.send_report("b", {1, 15});
    fixture.send_report("c", {1, 10});
    fixture.close_term();
    CHECK(fixture.planner.phase() == "waiting");
    fixture.advance_clock(clock::duration(100));
    fixture.send_report("a", {1, 20}, true);
    fixture.send_report("b", {1, 20});
    fixture.advance();
    CHECK(fixture.orders_of<fence_server>().size() == 3);
    fixture.fence("a", {1, 20});
    fixture.fence("b", {1, 20});
    fixture.fence("c", {1, 10});
    fixture.advance();
    fixture.finish("b", 20);
}

TEST_CASE("failover: a switchover with only lagging replicas keeps the old primary")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(1'500));
    fixture.send_report("a", {1, 20}, true);
    fixture.send_report("b", {1, 15});
    fixture.send_report("c", {1, 10});
    fixture.close_term();
    fixture.advance_clock(fixture.settings.catch_up_timeout);
    fixture.send_report("a", {1, 20}, true);
    fixture.send_report("b", {1, 15});
    fixture.send_report("c", {1, 10});
    fixture.advance();
    fixture.fence("a", {1, 20});
    fixture.fence("b", {1, 15});
    fixture.fence("c", {1, 10});
    fixture.advance();
    fixture.finish("a", 20);
}

TEST_CASE("failover: the next failover waits for the cooldown")
{
    failover_fixture fixture;
    fixture.start_group();
    fixture.advance_clock(clock::duration(900));
    fixture.send_report("b", {1, 9});
    fixture.send_report("c", {1, 12});
    fixture.advance();
    CHECK(fixture.orders.empty());
    fixture.advance_clock(clock::duration(100));
    fixture.advance();
    CHECK(fixture.orders_of<failover::close_term>().size() == 1);
}

TEST_CASE("failover: a new leader replaces a term that its predecessor left without a primary")
{
    failover_fixture fixture;
    fixture.group.term = 4;
    fixture.group.term_starts = {{1, 0}, {3, 30}};
    fixture.send_report("a", {3, 40});
    fixture.send_report("b", {3, 38});
    fixture.close_term();
    CHECK(fixture.group.term == 5);
}

TEST_CASE("failover: entries after the start of a later term are not retained")
{
    const std::array term_starts{term_boundary{1, 0}, term_boundary{2, 40}};
    CHECK(retained_position({1, 45}, term_starts) == log_position{1, 40});
    CHECK(retained_position({2, 45}, term_starts) == log_position{2, 45});
    const std::array candidates{candidate{server_name("a"), {1, 45}},
                                candidate{server_name("b"), {2, 41}},
                                candidate{server_name("c"), {1, 40}}};
    CHECK(choose_candidate(candidates, term_starts).server == server_name("b"));
    const std::array tied{candidates[0], candidates[2]};
    CHECK(choose_candidate(tied, term_starts).server == server_name("c"));
}
