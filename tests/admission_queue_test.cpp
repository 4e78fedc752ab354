#include "admission_load.h"
#include "admission_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::admission;

namespace {

using fixed_queue = basic_queue<fixed_pace>;

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

work make_work(std::uint64_t id, std::uint32_t priority, std::int64_t now_ms,
               std::int64_t deadline_ms, std::string organisation = "a")
{
    return {id,         std::move(organisation),  priority,
            at(now_ms), at(now_ms + deadline_ms), at(now_ms + deadline_ms / 4)};
}

// Runs one statement of `service_ms` at a time until nothing waits; returns the order of starts.
std::vector<std::uint64_t> run_all(fixed_queue& queue, std::int64_t now_ms, std::int64_t service_ms)
{
    std::vector<std::uint64_t> order;
    while (const auto id = queue.start_next(at(now_ms))) {
        order.push_back(*id);
        now_ms += service_ms;
        queue.finish(*id, outcome::done, at(now_ms));
    }
    return order;
}

// Deployment A's load at one primary in a burst, with a share of the stale reads: 1.3 times what
// its five slots can run.
load burst_at_primary()
{
    constexpr double burst = 2.47;
    load played;
    played.routes = {{145 * burst / 8, 8, 0, 200, 1'000},
                     {678 * burst / 8, 24, 1, 400, 1'000},
                     {252 * burst / 24, 40, 2, 1'200, 4'000}};
    return played;
}

// Deployment A's mixture at a group of servers; `scale` 1 is the load of the whole deployment.
load mixture(double scale)
{
    load played;
    played.routes = {{145 * scale, 8, 0, 200, 1'000},
                     {678 * scale, 24, 1, 400, 1'000},
                     {252 * scale, 40, 2, 1'200, 4'000}};
    return played;
}

double unserved(const load_counts& counts)
{
    return counts.share(counts.refused + counts.missed);
}

} // namespace

// Guards against the urgent route being the worst served, as with the server's own FIFO queue.
TEST_CASE("admission queue: the urgent route is the best served in a burst")
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        load played = burst_at_primary();
        played.seed = seed;
        const std::vector<simulated_server> servers(1);
        load_result fifo = play(played, servers, dispatch::fifo);
        load_result fair = play(played, servers, dispatch::learned);
        load_counts& urgent = fair.by_priority[0];
        CAPTURE(seed);
        CHECK(urgent.share(urgent.in_objective) > 0.99);
        CHECK(unserved(urgent) == 0);
        CHECK(unserved(fifo.by_priority[0]) > 0.1);
        CHECK(unserved(fair.by_priority[1]) < unserved(fifo.by_priority[1]));
        CHECK(unserved(fair.by_priority[1]) < unserved(fair.by_priority[2]));
        CHECK(fair.all.share(fair.all.refused) < fifo.all.share(fifo.all.refused));
        CHECK(fair.by_priority[2].in_objective > 0); // not starved
        CHECK(fair.started_expired == 0);
        CHECK(fair.busy_answers == 0);
    }
}

// Guards against one organisation at five times its rate taking the others' service.
TEST_CASE("admission queue: a busy organisation pays for its own excess")
{
    load played = burst_at_primary();
    played.organisations = 10;
    played.busy_factor = 5;
    played.routes.pop_back();
    load_result fair = play(played, std::vector<simulated_server>(1), dispatch::learned);
    double worst_other = 0;
    for (const auto& [organisation, counts] : fair.by_organisation) {
        worst_other = std::max(worst_other, organisation == 0 ? 0 : unserved(counts));
    }
    CHECK(unserved(fair.by_organisation[0]) > 0.2);
    CHECK(worst_other < 0.02);
}

TEST_CASE("admission queue: order of service by transaction, priority, and deadline")
{
    fixed_queue queue(1);
    REQUIRE(!queue.submit(make_work(1, 0, 0, 60'000), at(0)));
    REQUIRE(queue.start_next(at(0)) == 1);
    CHECK(!queue.submit(make_work(2, 2, 0, 50'000), at(0)));
    CHECK(!queue.submit(make_work(3, 1, 0, 50'000), at(0)));
    CHECK(!queue.submit(make_work(4, 1, 0, 40'000), at(0)));
    work continuing = make_work(5, 2, 0, 50'000);
    continuing.continues_transaction = true;
    CHECK(!queue.submit(continuing, at(0)));
    CHECK(!queue.start_next(at(0)));
    CHECK(queue.waiting() == 4);
    queue.finish(1, outcome::done, at(20));
    CHECK(run_all(queue, 20, 20) == std::vector<std::uint64_t>{5, 4, 3, 2});
}

// Guards against starvation, and against more than the stated share of starts going to less urgent
// work while urgent work waits.
TEST_CASE("admission queue: less urgent work gets one start in sixteen")
{
    fixed_queue queue(1);
    REQUIRE(!queue.submit(make_work(1'000, 0, 0, 90'000), at(0)));
    REQUIRE(queue.start_next(at(0)));
    for (std::uint64_t id = 1; id <= 96; ++id) {
        REQUIRE(!queue.submit(make_work(id, 0, 0, 90'000), at(0)));
    }
    for (std::uint64_t id = 101; id <= 110; ++id) {
        REQUIRE(!queue.submit(make_work(id, 2, 0, 90'000), at(0)));
    }
    queue.finish(1'000, outcome::done, at(20));
    const auto order = run_all(queue, 20, 20);
    REQUIRE(order.size() == 106);
    for (std::size_t index = 0; index < 96; ++index) {
        CHECK((order[index] > 100) == (index % 16 == 15));
    }
}

// Guards against starvation by transactions, whose statements go first.
TEST_CASE("admission queue: statements of transactions leave one start in sixteen to others")
{
    fixed_queue queue(1);
    REQUIRE(!queue.submit(make_work(1'000, 0, 0, 90'000), at(0)));
    REQUIRE(queue.start_next(at(0)));
    REQUIRE(!queue.submit(make_work(100, 0, 0, 90'000), at(0)));
    for (std::uint64_t id = 1; id <= 40; ++id) {
        work continuing = make_work(id, 1, 0, 90'000);
        continuing.continues_transaction = true;
        REQUIRE(!queue.submit(continuing, at(0)));
    }
    queue.finish(1'000, outcome::done, at(20));
    const auto order = run_all(queue, 20, 20);
    REQUIRE(order.size() == 41);
    CHECK(std::ranges::find(order, 100U) - order.begin() == 15);
}

TEST_CASE("admission queue: refuses at once what can't be served, and spreads the retries")
{
    fixed_queue queue(1);
    std::set<std::int64_t> delays;
    std::uint32_t refused = 0;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        if (const auto answer = queue.submit(make_work(id, 1, 0, 200), at(0))) {
            CHECK(answer->reason == reasons::deadline_unreachable);
            CHECK(answer->retry_after >= clock::duration(20));
            CHECK(answer->retry_after <= clock::duration(2'000));
            delays.insert(answer->retry_after.count());
            ++refused;
        }
        else {
            (void)queue.start_next(at(0));
        }
    }
    CHECK(queue.waiting() < 10); // 200 ms at 20 ms each
    CHECK(refused > 85);
    CHECK(delays.size() > 10);
    CHECK(queue.submit(make_work(200, 1, 0, 0), at(0))->reason == reasons::deadline_passed);
    CHECK(queue.submit(make_work(1, 1, 0, 900), at(0))->reason == reasons::duplicate_id);
    CHECK(!queue.submit(make_work(201, 0, 0, 200), at(0))); // urgent work does not wait for these
}

TEST_CASE("admission queue: an idle server is tried whatever the estimate")
{
    fixed_queue queue(1);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        REQUIRE(!queue.submit(make_work(id, 0, 0, 90'000), at(0)));
        REQUIRE(queue.start_next(at(0)) == id);
        queue.finish(id, outcome::done, at(5'000));
    }
    CHECK(!queue.submit(make_work(100, 0, 6'000, 30), at(6'000)));
    CHECK(queue.start_next(at(6'000)) == 100);
}

TEST_CASE("admission queue: expired and cancelled work does not start")
{
    fixed_queue queue(1);
    REQUIRE(!queue.submit(make_work(1, 1, 0, 1'000), at(0)));
    REQUIRE(queue.start_next(at(0)) == 1);
    REQUIRE(!queue.submit(make_work(2, 1, 0, 300), at(0)));
    REQUIRE(!queue.submit(make_work(3, 1, 0, 2'000), at(0)));
    REQUIRE(!queue.submit(make_work(4, 1, 0, 2'000), at(0)));
    CHECK(queue.cancel(3));
    CHECK(!queue.cancel(3));
    CHECK(!queue.cancel(1));
    queue.finish(1, outcome::silent, at(400));
    queue.finish(1, outcome::done, at(400)); // unknown by now
    CHECK(queue.start_next(at(400)) == 4);
    const auto removed = queue.expire(at(400));
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().id == 2);
    CHECK(removed.front().reason == reasons::deadline_passed);
    CHECK(queue.expire(at(400)).empty());
    CHECK(queue.waiting() == 0);
}

// Guards against unbounded memory, and against urgent work being turned away by a full queue.
TEST_CASE("admission queue: a full queue displaces the least urgent")
{
    fixed_queue queue(1);
    for (std::uint64_t id = 1; id <= fixed_queue::max_waiting; ++id) {
        const std::string organisation = id % 2 == 0 ? "a" : "b";
        REQUIRE(!queue.submit(make_work(id, 2, 0, 9'000'000, organisation), at(0)));
    }
    CHECK(queue.submit(make_work(1'000, 2, 0, 9'000'000), at(0))->reason == reasons::queue_full);
    CHECK(!queue.submit(make_work(1'001, 0, 0, 9'000'000), at(0)));
    CHECK(!queue.submit(make_work(1'002, 2, 0, 9'000'000, "c"), at(0))); // below its share
    CHECK(queue.waiting() == fixed_queue::max_waiting);
    const auto removed = queue.expire(at(0));
    REQUIRE(removed.size() == 2);
    CHECK(removed.front().reason == reasons::displaced);
    CHECK(queue.start_next(at(0)) == 1'001);
}

// Guards against admitting less urgent work whose one start in sixteen makes queued urgent work
// miss its deadline.
TEST_CASE("admission queue: less urgent work that would delay urgent work is refused")
{
    fixed_queue queue(1);
    REQUIRE(!queue.submit(make_work(1'000, 0, 0, 90'000), at(0)));
    REQUIRE(queue.start_next(at(0)));
    for (std::uint64_t id = 1; id <= 20; ++id) {
        // 10 ms for the one that runs and 20 ms for each; the next 20 ms would be too many.
        REQUIRE(!queue.submit(make_work(id, 0, 0, 415), at(0)));
    }
    const auto refused = queue.submit(make_work(100, 1, 0, 90'000), at(0));
    REQUIRE(refused);
    CHECK(refused->reason == reasons::would_delay_urgent);
}

// Guards against work that is lost, answered twice or started beyond the limit in any order of
// calls.
TEST_CASE("admission queue: every submitted item ends exactly once")
{
    std::mt19937 random(5);
    const auto below = [&](int bound) {
        return std::uniform_int_distribution<int>(0, bound - 1)(random);
    };
    for (int round = 0; round < 20; ++round) {
        queue tested(4);
        std::map<std::uint64_t, work> waiting;
        std::vector<std::uint64_t> running;
        std::uint64_t last_id = 0;
        for (std::int64_t now = 0; now < 3'000; ++now) {
            for (int count = below(3); count > 0; --count) {
                work item = make_work(++last_id, static_cast<std::uint32_t>(below(4)), now,
                                      1 + below(2'000), "o" + std::to_string(below(5)));
                item.continues_transaction = below(10) == 0;
                if (!tested.submit(item, at(now))) {
                    waiting.emplace(item.id, item);
                }
            }
            if (below(20) == 0 && !waiting.empty()) {
                const std::uint64_t id = waiting.begin()->first;
                if (tested.cancel(id)) {
                    waiting.erase(id);
                }
            }
            for (const refusal& each : tested.expire(at(now))) {
                REQUIRE(waiting.erase(each.id) == 1);
            }
            while (const auto id = tested.start_next(at(now))) {
                const auto started = waiting.find(*id);
                REQUIRE(started != waiting.end());
                CHECK(started->second.deadline > at(now));
                waiting.erase(started);
                running.push_back(*id);
            }
            REQUIRE(running.size() <= 4);
            for (std::size_t index = running.size(); index-- > 0;) {
                if (below(15) == 0) {
                    tested.finish(running[index], static_cast<outcome>(below(4)), at(now));
                    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                }
            }
        }
        for (const refusal& each : tested.expire(at(60'000))) {
            REQUIRE(waiting.erase(each.id) == 1);
        }
        CHECK(waiting.empty());
        CHECK(tested.waiting() == 0);
        CHECK(tested.running() == running.size());
    }
}

// Servers of unequal pace, against fixed weights: callers' 99th percentile and refusals.
TEST_CASE("admission queue: unequal servers are used by what they can run")
{
    const auto third = [](std::int64_t, std::size_t) { return 1.0 / 3; };
    const auto slowing = [](std::int64_t at_ms, std::size_t) {
        return 1 / (1 + static_cast<double>(at_ms) / 4'000);
    };
    const auto flapping = [](std::int64_t at_ms, std::size_t) {
        return at_ms / 2'000 % 2 == 0 ? 1.0 : 0.2;
    };
    std::vector<simulated_server> half_slow(4);
    half_slow[0].speed = third;
    half_slow[1].speed = third;
    std::vector<simulated_server> one_slowing(4);
    one_slowing[0].speed = slowing;
    std::vector<simulated_server> one_flapping(4);
    one_flapping[0].speed = flapping;
    using scenario = std::pair<std::vector<simulated_server>, double>;
    for (const auto& [servers, scale] :
         {scenario{half_slow, 0.25}, scenario{one_slowing, 0.3}, scenario{one_flapping, 0.3}}) {
        load_result weighted = play(mixture(scale), servers, dispatch::fixed);
        load_result learned = play(mixture(scale), servers, dispatch::learned);
        CHECK(learned.all.percentile(0.99) < 0.2 * weighted.all.percentile(0.99));
        CHECK(unserved(learned.all) <= unserved(weighted.all));
        CHECK(unserved(learned.all) < 0.001);
        CHECK(learned.min_concurrency >= 1); // no server is taken out of service
    }
}

// Guards against a server that fails fast and so seems the fastest: it would attract the load.
TEST_CASE("admission queue: a server that fails statements does not attract the load")
{
    std::vector<simulated_server> servers(4);
    servers[0].failing_share = 0.4;
    load_result by_cost = play(mixture(0.3), servers, dispatch::fixed_cost);
    load_result learned = play(mixture(0.3), servers, dispatch::learned);
    CHECK(unserved(learned.all) < 0.002);
    CHECK(unserved(learned.all) < unserved(by_cost.all));
}

// Guards against filling a server that runs less in all, the more it runs at once.
TEST_CASE("admission queue: learned concurrency serves more at a server that slows down under load")
{
    std::vector<simulated_server> servers(1);
    servers[0].speed = [](std::int64_t at_ms, std::size_t running) {
        const auto count = static_cast<double>(running);
        return at_ms > 5'000 && running > 2 ? 4 / (count * count) : 1.0;
    };
    load_result fixed = play(mixture(0.06), servers, dispatch::fixed);
    load_result learned = play(mixture(0.06), servers, dispatch::learned);
    CHECK(unserved(learned.all) < 0.1 * unserved(fixed.all));
    CHECK(learned.all.percentile(0.99) < fixed.all.percentile(0.99));
}
