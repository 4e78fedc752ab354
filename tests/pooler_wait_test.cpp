#include "pooler_fixture.h"
#include "pooler_server.h"
#include "pooler_wait.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <list>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::pooler;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration statement_timeout{1'000};

clock::time_point at(std::int64_t ms)
{
    return clock::time_point(clock::duration(ms));
}

// Callers of a server that serves nothing between 1 s and 3.2 s, because its connections are taken
// by peers that have lost power. Each sends one write,
// retries it twice soon after a refusal, and gives up 4 s after its first attempt.
struct outage_result {
    int callers = 0;
    int served = 0;
    clock::duration longest_attempt{0};
};

struct waiting_caller {
    clock::time_point asked_at; // the first attempt
    clock::time_point received_at;
    clock::time_point retry_at;
    int attempts = 1;
    bool is_queued = false;
};

outage_result simulate_outage(std::uint64_t seed, double operations_per_s, std::uint32_t slots)
{
    constexpr std::int64_t outage_begin_ms = 1'000;
    constexpr std::int64_t outage_end_ms = 3'200;
    constexpr std::int64_t simulated_ms = 8'000;
    constexpr clock::duration deadline{4'000};
    constexpr clock::duration retry_delay{50};
    constexpr double service_ms = 25;
    constexpr int max_attempts = 3;
    std::mt19937_64 random(seed);
    std::list<waiting_caller> callers;
    std::vector<clock::time_point> free_at(slots, at(0));
    outage_result result;
    for (std::int64_t ms = 0; ms < simulated_ms; ++ms) {
        const clock::time_point now = at(ms);
        const bool is_serving = ms < outage_begin_ms || ms >= outage_end_ms;
        const bool is_arrival =
            static_cast<double>(random() % 1'000'000) < operations_per_s * 1'000;
        if (is_arrival && ms < simulated_ms - deadline.count()) {
            ++result.callers;
            callers.push_back({now, now, now});
        }
        for (auto each = callers.begin(); each != callers.end();) {
            if (now - each->asked_at >= deadline) {
                each = callers.erase(each);
                continue;
            }
            if (!each->is_queued && now >= each->retry_at) {
                each->received_at = now;
                each->is_queued = true;
            }
            if (!each->is_queued) {
                ++each;
                continue;
            }
            const auto slot =
                std::find_if(free_at.begin(), free_at.end(),
                             [&](clock::time_point free) { return is_serving && free <= now; });
            if (slot != free_at.end()) {
                *slot = now + clock::duration(static_cast<clock::rep>(service_ms));
                ++result.served;
                each = callers.erase(each);
                continue;
            }
            const clock::time_point last_start =
                outage_deadline(each->received_at, statement_timeout);
            if (now < last_start) {
                ++each;
                continue;
            }
            result.longest_attempt = std::max(result.longest_attempt, now - each->received_at);
            if (each->attempts == max_attempts) {
                each = callers.erase(each);
                continue;
            }
            ++each->attempts;
            each->retry_at = now + retry_delay;
            each->is_queued = false;
            ++each;
        }
    }
    return result;
}

// Requests a connection to the primary; the error is set once the request ends.
void request_primary(pooler_fixture& instance, connection_request& request,
                     std::optional<acquire_error>& error)
{
    request.group = "g";
    request.organisation = "org";
    request.role = required_role::primary;
    request.deadline = clock::now() + clock::duration(20);
    request.outage_deadline = clock::now() + clock::duration(600);
    boost::asio::co_spawn(
        instance.io, [&] { return instance.connections.acquire(request); },
        [&](const std::exception_ptr&, acquire_result acquired) {
            error = acquired.error;
            if (acquired.connection) {
                instance.connections.release(std::move(acquired.connection), true);
            }
        });
}

void lose_primary(pooler_fixture& instance)
{
    const auto primary = instance.connections.find_server("g", "server-1");
    REQUIRE(primary);
    for (int i = 0; i < 5; ++i) { // avoided for longer than the test takes
        instance.connections.mark_unreachable(*primary, false, clock::now());
    }
}

} // namespace

// Guards against callers who use up their retries within the first part of an outage, although it
// ends long before their deadlines. The server runs a fifth of its capacity.
TEST_CASE("pooler wait: callers are served after an outage that outlasts a time-out")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const outage_result result = simulate_outage(seed, 16, 2);
        CHECK(result.served >= 0.95 * result.callers);
        CHECK(result.longest_attempt < statement_timeout);
    }
}

// Guards against waits that outlast the time-out, and against idle slots once the server is back,
// when five times as many callers as it can run return to it.
TEST_CASE("pooler wait: callers learn in time that an outage has left too many of them")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const outage_result result = simulate_outage(seed, 400, 2);
        CHECK(result.longest_attempt < statement_timeout);
        CHECK(result.served >= 0.9 * 2 * (4'000 - 2'200) / 25.0);
    }
}

// Guards against a slow server being taken for one that does not serve, and the other way round.
TEST_CASE("pooler wait: a server has stalled if it answers nothing for several statements' time")
{
    CHECK(!has_stalled(at(0), 20, at(200)));
    CHECK(has_stalled(at(0), 20, at(300)));
    CHECK(!has_stalled(at(0), 200, at(500)));
    CHECK(has_stalled(at(0), 200, at(700)));
}

// Guards against callers held at an instance that knows of no primary: a change of primary takes
// longer than their time-outs, and others may reach the primary.
TEST_CASE("pooler pool: an operation is refused at once while no primary can be reached")
{
    pooler_fixture instance;
    instance.confirm(100);
    lose_primary(instance);
    connection_request request;
    std::optional<acquire_error> error;
    request_primary(instance, request, error);
    instance.run(clock::duration(10));
    REQUIRE(error.has_value());
    CHECK(*error == acquire_error::no_primary);
}

// Guards against instances that keep a server busy with connections that it refuses, and against
// callers refused because its limit is taken by connections of peers that are gone.
TEST_CASE("pooler pool: a server's full connection limit is retried with backoff until it has room")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.limit_connections(0);
    connection_request request;
    std::optional<acquire_error> error;
    request_primary(instance, request, error);
    for (int i = 0; i < 20; ++i) {
        instance.run(clock::duration(20));
        instance.connections.retry_waiting();
    }
    CHECK(!error.has_value());
    CHECK(instance.server.connections() <= 6);
    instance.server.limit_connections(1);
    for (int i = 0; i < 10; ++i) {
        instance.run(clock::duration(20));
        instance.connections.retry_waiting();
    }
    REQUIRE(error.has_value());
    CHECK(*error == acquire_error::none);
}

// Guards against many connections being opened at once to a server that does not answer.
TEST_CASE("pooler server: a server that failed gets one connection at a time until one succeeds")
{
    pooled_server server;
    server.record_failure(at(0), false);
    CHECK(server.may_open(at(1'000)));
    server.opened_at = at(1'000);
    CHECK(!server.may_open(at(1'001)));
    CHECK(server.may_open(at(1'700)));
    server.record_success();
    CHECK(server.may_open(at(1'001)));
}
