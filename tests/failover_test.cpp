#include "failover_choice.h"

#include <primrosehead/failover.h>

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace primrosehead;
using namespace primrosehead::failover;

namespace {

// A plan for the servers a, b and c, with a state that commits every order at once.
struct bench {
    clock::time_point now = from_ms(10'000);
    planner_settings settings;
    planner changes{database_name("kura-ledger-1"), settings, now};
    group_view group;
    bool old_leases_ended = true;
    bool tells_terms = true; // reports carry the promised term
    std::vector<order> orders;

    void send_report(const char* server, log_position received, bool leaving = false)
    {
        member_report report;
        report.server = server_name(server);
        report.url = std::string("http://") + server;
        report.reported_at = now;
        report.received = received;
        report.term = tells_terms ? group.term : 0;
        report.is_primary = group.primary == report.server;
        report.is_leaving = leaving;
        changes.on_report(report);
    }

    void advance() { orders = changes.advance(group, old_leases_ended, now); }

    template <class Order>
    [[nodiscard]] std::vector<Order> given() const
    {
        std::vector<Order> matching;
        for (const order& one : orders) {
            if (const auto* match = std::get_if<Order>(&one)) {
                matching.push_back(*match);
            }
        }
        return matching;
    }

    void close_term()
    {
        advance();
        REQUIRE(given<failover::close_term>().size() == 1);
        group.term = given<failover::close_term>().front().new_term;
        group.primary.reset();
        ++group.version;
        advance();
    }

    void finish(const char* server, std::uint64_t start_index)
    {
        REQUIRE(given<promote_server>().size() == 1);
        CHECK(given<promote_server>().front().server == server_name(server));
        changes.on_promoted(server_name(server), group.term, start_index);
        advance();
        REQUIRE(given<open_term>().size() == 1);
        CHECK(given<open_term>().front().start_index == start_index);
        group.primary = server_name(server);
        group.term_starts.push_back({group.term, start_index});
        ++group.version;
        advance();
        CHECK(changes.phase() == "steady");
    }

    void fence(const char* server, log_position received)
    {
        changes.on_fenced(server_name(server), group.term, received);
    }

    void hear_all(log_position received)
    {
        send_report("a", received);
        send_report("b", received);
        send_report("c", received);
    }

    void start_group()
    {
        hear_all({0, 0});
        close_term();
        fence("a", {0, 0});
        fence("b", {0, 0});
        fence("c", {0, 0});
        advance();
        finish("a", 0);
    }

    void pass(clock::duration time) { now += time; }
};

} // namespace

TEST_CASE("enough fences: a majority that holds one copy of every acknowledged write")
{
    CHECK(fence_quorum(1) == 1);
    CHECK(fence_quorum(2) == 2);
    CHECK(fence_quorum(3) == 2);
    CHECK(fence_quorum(4) == 3);
    CHECK(fence_quorum(5) == 4);
}

TEST_CASE("a new group waits for its members, then gets its first primary")
{
    bench group;
    group.send_report("a", {0, 0});
    group.send_report("b", {0, 0});
    group.advance();
    CHECK(group.orders.empty());
    group.start_group();
    CHECK(group.group.term == 1);
}

TEST_CASE("a silent primary is replaced by the member that received most")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("b", {1, 9});
    group.send_report("c", {1, 12});
    group.old_leases_ended = false;
    group.close_term();
    CHECK(group.changes.phase() == "waiting");
    CHECK(group.orders.empty());
    group.old_leases_ended = true;
    group.advance();
    CHECK(group.given<fence_server>().size() == 2);
    group.fence("b", {1, 9});
    group.advance();
    CHECK(group.given<promote_server>().empty());
    group.fence("c", {1, 12});
    group.advance();
    group.finish("c", 12);
    CHECK(group.group.term == 2);
}

TEST_CASE("a primary that tells another role is replaced, one that doesn't tell its term is not")
{
    bench group;
    group.start_group();
    group.tells_terms = false;
    group.pass(clock::duration(1'500));
    group.hear_all({1, 9});
    group.advance();
    CHECK(group.orders.empty());
    group.group.primary = server_name("b");
    group.hear_all({1, 9});
    group.group.primary = server_name("a");
    group.advance();
    CHECK(group.given<failover::close_term>().size() == 1);
}

TEST_CASE("a silent primary stays while too few others are heard to fence it off")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("b", {1, 9});
    group.advance();
    CHECK(group.changes.phase() == "steady");
}

TEST_CASE("orders without an answer are given again")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("b", {1, 9});
    group.send_report("c", {1, 12});
    group.close_term();
    CHECK(group.given<fence_server>().size() == 2);
    group.fence("b", {1, 9});
    group.pass(group.settings.retry_interval);
    group.send_report("c", {1, 12});
    group.advance();
    REQUIRE(group.given<fence_server>().size() == 1);
    CHECK(group.given<fence_server>().front().server == server_name("c"));
}

TEST_CASE("a promotion that a silent server doesn't answer is followed by one in a higher term")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("b", {1, 9});
    group.send_report("c", {1, 12});
    group.close_term();
    group.fence("b", {1, 9});
    group.fence("c", {1, 12});
    group.advance();
    CHECK(group.given<promote_server>().size() == 1);
    group.pass(group.settings.retry_interval);
    group.advance();
    CHECK(group.given<promote_server>().size() == 1);
    group.pass(group.settings.retry_interval);
    group.send_report("a", {1, 14});
    group.send_report("b", {1, 9});
    group.advance();
    REQUIRE(group.given<failover::close_term>().size() == 1);
    CHECK(group.given<failover::close_term>().front().new_term == 3);
}

TEST_CASE("a refusal with a higher term leads to a yet higher one")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("b", {1, 9});
    group.send_report("c", {1, 12});
    group.close_term();
    group.changes.on_refused(server_name("b"), 7);
    group.advance();
    REQUIRE(group.given<failover::close_term>().size() == 1);
    CHECK(group.given<failover::close_term>().front().new_term == 8);
}

TEST_CASE("a leaving primary is replaced once a replica has caught up, without silence")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("a", {1, 20}, true);
    group.send_report("b", {1, 15});
    group.send_report("c", {1, 10});
    group.close_term();
    CHECK(group.changes.phase() == "waiting");
    group.pass(clock::duration(100));
    group.send_report("a", {1, 20}, true);
    group.send_report("b", {1, 20});
    group.advance();
    CHECK(group.given<fence_server>().size() == 3);
    group.fence("a", {1, 20});
    group.fence("b", {1, 20});
    group.fence("c", {1, 10});
    group.advance();
    group.finish("b", 20);
}

TEST_CASE("a planned change loses no write for a replica that lags")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(1'500));
    group.send_report("a", {1, 20}, true);
    group.send_report("b", {1, 15});
    group.send_report("c", {1, 10});
    group.close_term();
    group.pass(group.settings.catch_up_timeout);
    group.send_report("a", {1, 20}, true);
    group.send_report("b", {1, 15});
    group.send_report("c", {1, 10});
    group.advance();
    group.fence("a", {1, 20});
    group.fence("b", {1, 15});
    group.fence("c", {1, 10});
    group.advance();
    group.finish("a", 20);
}

TEST_CASE("a second failover waits until the first has settled")
{
    bench group;
    group.start_group();
    group.pass(clock::duration(900));
    group.send_report("b", {1, 9});
    group.send_report("c", {1, 12});
    group.advance();
    CHECK(group.orders.empty());
    group.pass(clock::duration(100));
    group.advance();
    CHECK(group.given<failover::close_term>().size() == 1);
}

TEST_CASE("a new leader closes a term that its predecessor left closed under a higher one")
{
    bench group;
    group.group.term = 4;
    group.group.term_starts = {{1, 0}, {3, 30}};
    group.send_report("a", {3, 40});
    group.send_report("b", {3, 38});
    group.close_term();
    CHECK(group.group.term == 5);
}

TEST_CASE("entries after the start of a later term count for nothing")
{
    const std::array term_starts{term_boundary{1, 0}, term_boundary{2, 40}};
    CHECK(retained_position({1, 45}, term_starts) == log_position{1, 40});
    CHECK(retained_position({2, 45}, term_starts) == log_position{2, 45});
    const std::array candidates{candidate{server_name("a"), {1, 45}},
                                candidate{server_name("b"), {2, 41}},
                                candidate{server_name("c"), {1, 40}}};
    CHECK(choose_candidate(candidates, term_starts).server == server_name("b"));
    const std::array equals{candidates[0], candidates[2]};
    CHECK(choose_candidate(equals, term_starts).server == server_name("c"));
}
