#include <primrosehead/health.h>

#include <doctest/doctest.h>

using namespace primrosehead;

namespace {

constexpr clock::duration quick{2};
constexpr clock::duration nothing_to_compare{0};

health_watch make_watch(health_settings settings = {})
{
    return health_watch(settings, from_ms(0));
}

// Three failures in a row at `now` take a peer out.
void fail_three_times(health_watch& watch, clock::time_point now)
{
    for (int failure = 0; failure < 3; ++failure) {
        watch.failed(error_kind::connection_lost, now);
    }
}

} // namespace

TEST_CASE("health: one failure makes a peer suspect, three in a row take it out")
{
    health_watch watch = make_watch();
    CHECK(watch.state() == server_health::up);
    watch.failed(error_kind::connection_lost, from_ms(10));
    CHECK(watch.state() == server_health::suspect);
    watch.failed(error_kind::timed_out, from_ms(20));
    CHECK(watch.state() == server_health::suspect);
    watch.failed(error_kind::connection_lost, from_ms(30));
    CHECK(watch.state() == server_health::down);
    CHECK(watch.reason() == "failed_repeatedly");
}

TEST_CASE("health: answers that refuse a request tell nothing bad of a peer")
{
    health_watch watch = make_watch();
    watch.failed(error_kind::behind, from_ms(10));
    watch.failed(error_kind::overloaded, from_ms(10));
    watch.failed(error_kind::wrong_term, from_ms(10));
    CHECK(watch.state() == server_health::up);
}

TEST_CASE("health: a suspect peer is trusted again after answers in a row")
{
    health_watch watch = make_watch();
    watch.failed(error_kind::connection_lost, from_ms(10));
    watch.succeeded(quick, from_ms(20));
    watch.succeeded(quick, from_ms(20));
    CHECK(watch.state() == server_health::suspect);
    watch.succeeded(quick, from_ms(20));
    CHECK(watch.state() == server_health::up);
    CHECK(watch.reason() == "works_again");
}

TEST_CASE("health: a peer taken out is tried again at growing intervals")
{
    health_watch watch = make_watch();
    clock::time_point now = from_ms(100);
    fail_three_times(watch, now);
    for (const int interval : {250, 500, 1'000, 2'000, 4'000, 8'000, 8'000}) {
        CAPTURE(interval);
        watch.heard(now + clock::duration(interval - 1), now + clock::duration(interval - 1));
        watch.check(nothing_to_compare, now + clock::duration(interval - 1));
        CHECK(watch.state() == server_health::down);
        now += clock::duration(interval);
        watch.check(nothing_to_compare, now);
        CHECK(watch.state() == server_health::probing);
        watch.failed(error_kind::connection_lost, now);
        CHECK(watch.state() == server_health::down);
    }
}

TEST_CASE("health: probes that are answered bring a peer back and reset the interval")
{
    health_watch watch = make_watch();
    fail_three_times(watch, from_ms(0));
    watch.check(nothing_to_compare, from_ms(250));
    watch.succeeded(quick, from_ms(251));
    CHECK(watch.state() == server_health::probing);
    watch.succeeded(quick, from_ms(252));
    CHECK(watch.state() == server_health::up);
    watch.heard(from_ms(300), from_ms(300));
    fail_three_times(watch, from_ms(300));
    watch.check(nothing_to_compare, from_ms(550));
    CHECK(watch.state() == server_health::probing);
}

TEST_CASE("health: silence makes a peer suspect, one failure then takes it out")
{
    health_watch watch = make_watch();
    watch.check(nothing_to_compare, from_ms(400));
    CHECK(watch.state() == server_health::up);
    watch.check(nothing_to_compare, from_ms(401));
    CHECK(watch.state() == server_health::suspect);
    CHECK(watch.reason() == "silent");
    watch.failed(error_kind::timed_out, from_ms(500));
    CHECK(watch.state() == server_health::down);
    CHECK(watch.reason() == "failed_while_silent");
    watch.heard(from_ms(510), from_ms(510));
    CHECK(watch.state() == server_health::probing);
}

TEST_CASE("health: silence that ends without a failure is forgotten")
{
    health_watch watch = make_watch();
    watch.check(nothing_to_compare, from_ms(500));
    CHECK(watch.state() == server_health::suspect);
    watch.heard(from_ms(505), from_ms(510));
    watch.check(nothing_to_compare, from_ms(510));
    CHECK(watch.state() == server_health::up);
    CHECK(watch.last_heard() == from_ms(505));
}

TEST_CASE("health: a peer much slower than its group is suspect until it is as quick again")
{
    health_watch watch = make_watch();
    for (int answer = 0; answer < 20; ++answer) {
        watch.succeeded(clock::duration(200), from_ms(10));
    }
    watch.check(clock::duration(5), from_ms(20));
    CHECK(watch.state() == server_health::suspect);
    CHECK(watch.reason() == "slow");
    for (int answer = 0; answer < 30; ++answer) {
        watch.succeeded(clock::duration(5), from_ms(30));
    }
    watch.check(clock::duration(5), from_ms(40));
    CHECK(watch.state() == server_health::up);
}

TEST_CASE("health: with the switch off a failing peer stays up")
{
    health_settings settings;
    settings.take_out = false;
    health_watch watch = make_watch(settings);
    fail_three_times(watch, from_ms(10));
    CHECK(watch.state() == server_health::up);
}
