#include <primrosehead/health.h>

#include <doctest/doctest.h>

using namespace primrosehead;

namespace {

constexpr clock::duration low_latency{2};
constexpr clock::duration no_others{0};

health_monitor make_monitor(health_settings settings = {})
{
    return health_monitor(settings, from_ms(0));
}

// Takes a peer down by three consecutive failures at `now`.
void take_down(health_monitor& monitor, clock::time_point now)
{
    for (int failure = 0; failure < 3; ++failure) {
        monitor.record_failure(error_kind::connection_lost, now);
    }
}

} // namespace

TEST_CASE("health: one failure makes a peer suspect, three consecutive ones take it down")
{
    health_monitor monitor = make_monitor();
    CHECK(monitor.state() == server_health::up);
    monitor.record_failure(error_kind::connection_lost, from_ms(10));
    CHECK(monitor.state() == server_health::suspect);
    monitor.record_failure(error_kind::timed_out, from_ms(20));
    CHECK(monitor.state() == server_health::suspect);
    monitor.record_failure(error_kind::connection_lost, from_ms(30));
    CHECK(monitor.state() == server_health::down);
    CHECK(monitor.reason() == "failed_repeatedly");
}

TEST_CASE("health: answers that refuse a request are not failures of the peer")
{
    health_monitor monitor = make_monitor();
    monitor.record_failure(error_kind::behind, from_ms(10));
    monitor.record_failure(error_kind::overloaded, from_ms(10));
    monitor.record_failure(error_kind::wrong_term, from_ms(10));
    CHECK(monitor.state() == server_health::up);
}

TEST_CASE("health: a suspect peer is up after three consecutive answers")
{
    health_monitor monitor = make_monitor();
    monitor.record_failure(error_kind::connection_lost, from_ms(10));
    monitor.record_success(low_latency, from_ms(20));
    monitor.record_success(low_latency, from_ms(20));
    CHECK(monitor.state() == server_health::suspect);
    monitor.record_success(low_latency, from_ms(20));
    CHECK(monitor.state() == server_health::up);
    CHECK(monitor.reason() == "works_again");
}

TEST_CASE("health: a down peer is probed at doubling intervals up to a maximum")
{
    health_monitor monitor = make_monitor();
    clock::time_point now = from_ms(100);
    take_down(monitor, now);
    for (const int interval : {250, 500, 1'000, 2'000, 4'000, 8'000, 8'000}) {
        CAPTURE(interval);
        monitor.record_announcement(now + clock::duration(interval - 1),
                                    now + clock::duration(interval - 1));
        monitor.check(no_others, now + clock::duration(interval - 1));
        CHECK(monitor.state() == server_health::down);
        now += clock::duration(interval);
        monitor.check(no_others, now);
        CHECK(monitor.state() == server_health::probing);
        monitor.record_failure(error_kind::connection_lost, now);
        CHECK(monitor.state() == server_health::down);
    }
}

TEST_CASE("health: answered probes bring a peer up and reset the probe interval")
{
    health_monitor monitor = make_monitor();
    take_down(monitor, from_ms(0));
    monitor.check(no_others, from_ms(250));
    monitor.record_success(low_latency, from_ms(251));
    CHECK(monitor.state() == server_health::probing);
    monitor.record_success(low_latency, from_ms(252));
    CHECK(monitor.state() == server_health::up);
    monitor.record_announcement(from_ms(300), from_ms(300));
    take_down(monitor, from_ms(300));
    monitor.check(no_others, from_ms(550));
    CHECK(monitor.state() == server_health::probing);
}

TEST_CASE("health: a silent peer is suspect, and one failure takes it down")
{
    health_monitor monitor = make_monitor();
    monitor.check(no_others, from_ms(400));
    CHECK(monitor.state() == server_health::up);
    monitor.check(no_others, from_ms(401));
    CHECK(monitor.state() == server_health::suspect);
    CHECK(monitor.reason() == "silent");
    monitor.record_failure(error_kind::timed_out, from_ms(500));
    CHECK(monitor.state() == server_health::down);
    CHECK(monitor.reason() == "failed_while_silent");
    monitor.record_announcement(from_ms(510), from_ms(510));
    CHECK(monitor.state() == server_health::probing);
}

TEST_CASE("health: a silent peer is up when it announces itself again without a failure")
{
    health_monitor monitor = make_monitor();
    monitor.check(no_others, from_ms(500));
    CHECK(monitor.state() == server_health::suspect);
    monitor.record_announcement(from_ms(505), from_ms(510));
    monitor.check(no_others, from_ms(510));
    CHECK(monitor.state() == server_health::up);
    CHECK(monitor.last_announcement_at() == from_ms(505));
}

TEST_CASE("health: a peer much slower than its group is suspect until its latency recovers")
{
    health_monitor monitor = make_monitor();
    for (int answer = 0; answer < 20; ++answer) {
        monitor.record_success(clock::duration(200), from_ms(10));
    }
    monitor.check(clock::duration(5), from_ms(20));
    CHECK(monitor.state() == server_health::suspect);
    CHECK(monitor.reason() == "slow");
    for (int answer = 0; answer < 30; ++answer) {
        monitor.record_success(clock::duration(5), from_ms(30));
    }
    monitor.check(clock::duration(5), from_ms(40));
    CHECK(monitor.state() == server_health::up);
}

TEST_CASE("health: a failing peer stays up while detection is disabled")
{
    health_settings settings;
    settings.detection_enabled = false;
    health_monitor monitor = make_monitor(settings);
    take_down(monitor, from_ms(10));
    CHECK(monitor.state() == server_health::up);
}
