#include "primrosehead.pb.h"

#include <primrosehead/fleet.h>
#include <primrosehead/state.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace primrosehead;
using namespace primrosehead::fleet;

namespace {

const char* const document = R"({
  "databases": [{"name": "kura-ledger-1"}],
  "routes": [{"name": "reserve", "database": "kura-ledger-1", "access": "write"}],
  "organisations": [{"name": "shrine-committee", "rate": 100, "burst": 50}]
})";

// Runs a service. Proposals commit at once and servers accept every order.
class service_fixture {
  public:
    service_fixture()
    {
        pb::command trial;
        trial.mutable_trial()->set_name("hakata");
        trial.mutable_trial()->set_document(document);
        REQUIRE(state.apply(trial).ok());
        pb::command promote;
        promote.mutable_promote()->set_name("hakata");
        promote.mutable_promote()->set_base_version(1);
        REQUIRE(state.apply(promote).ok());
    }

    pb::heartbeat make_heartbeat(const std::string& instance)
    {
        pb::heartbeat heartbeat;
        heartbeat.set_instance(instance);
        heartbeat.set_incarnation(1);
        heartbeat.set_sequence(++sequences[instance]);
        heartbeat.set_answered_sequence(sequences[instance] - 1);
        heartbeat.set_asked_at_ms(to_ms(now));
        heartbeat.set_state_version(state.version());
        heartbeat.set_state_digest(state.digest());
        heartbeat.mutable_self()->set_failure_domain("fukuoka");
        heartbeat.mutable_self()->set_endpoint("tcp://127.0.0.1:1");
        heartbeat.mutable_self()->set_http_url("http://127.0.0.1:2");
        return heartbeat;
    }

    void add_server_reports(pb::heartbeat& heartbeat)
    {
        for (const char* name : {"a", "b", "c"}) {
            if (silent_server != name) {
                *heartbeat.add_servers() = make_report(name);
            }
        }
    }

    [[nodiscard]] pb::server_report make_report(const std::string& server) const
    {
        const pb::group_record* group = state.group("kura-ledger-1");
        pb::server_report report;
        report.set_server(server);
        report.set_database("kura-ledger-1");
        report.set_url(std::string("http://").append(server));
        const bool is_primary = group != nullptr && group->primary() == server;
        report.set_role(is_primary ? "primary" : "replica");
        report.set_term(group == nullptr ? 0 : group->term());
        report.mutable_received()->set_term(1);
        report.mutable_received()->set_index(server == "c" ? 12 : 10);
        return report;
    }

    void advance()
    {
        for (const action& requested : leader.advance(state, now)) {
            std::visit([this](const auto& requested_action) { execute(requested_action); },
                       requested);
        }
    }

    // Sends heartbeats every 100 ms and advances the service every 10 ms.
    void run(clock::duration duration)
    {
        const clock::time_point end = now + duration;
        for (; now < end; now += clock::duration(10)) {
            if (to_ms(now) % 100 == 0) {
                pb::heartbeat heartbeat = make_heartbeat("entry-1");
                add_server_reports(heartbeat);
                last_reply = leader.handle_heartbeat(heartbeat, state, now);
            }
            advance();
        }
    }

    clock::time_point now = from_ms(100'000);
    state_machine state{cell_name("hakata")};
    service_settings settings{cell_name("hakata"), "hakata"};
    service leader{settings, now};
    std::map<std::string, std::uint64_t> sequences;
    std::string silent_server;
    pb::heartbeat_reply last_reply;
    std::map<std::string, std::uint64_t> follow_orders;
    int pushes = 0;

  private:
    void execute(const propose& requested) { state.apply(requested.command); }

    void execute(const order_server& requested)
    {
        if (const auto* fence = std::get_if<failover::fence_server>(&requested.order)) {
            const std::uint64_t index = fence->server.text() == "c" ? 12 : 10;
            leader.on_fenced(requested.database, fence->server.text(), fence->term, {1, index});
        }
        else if (const auto* promote = std::get_if<failover::promote_server>(&requested.order)) {
            leader.on_promoted(requested.database, promote->server.text(), promote->term, 12);
        }
    }

    void execute(const follow_server& requested)
    {
        ++follow_orders[requested.server];
        leader.on_followed(requested.server, requested.group.term());
    }

    void execute(const push_state& /*requested*/) { ++pushes; }
};

} // namespace

TEST_CASE(
    "fleet: a heartbeat is answered with a lease, the missing state, servers and live instances")
{
    service_fixture fixture;
    pb::heartbeat first = fixture.make_heartbeat("entry-1");
    first.set_state_version(0);
    first.set_state_digest(0);
    fixture.add_server_reports(first);
    const pb::heartbeat_reply answer =
        fixture.leader.handle_heartbeat(first, fixture.state, fixture.now);
    CHECK(answer.is_leader());
    CHECK(answer.lease_ms() == 500);
    CHECK(answer.asked_at_ms() == first.asked_at_ms());
    CHECK(answer.delta().to_version() == fixture.state.version());
    CHECK(answer.servers_size() == 0);
    CHECK(answer.live_instances_size() == 1);
    const pb::heartbeat_reply other = fixture.leader.handle_heartbeat(
        fixture.make_heartbeat("entry-2"), fixture.state, fixture.now);
    CHECK(other.servers_size() == 3);
    CHECK_FALSE(other.has_delta());
    const pb::heartbeat_reply next = fixture.leader.handle_heartbeat(
        fixture.make_heartbeat("entry-2"), fixture.state, fixture.now);
    CHECK(next.servers_size() == 0);
}

TEST_CASE("fleet: a duplicate heartbeat renews nothing")
{
    service_fixture fixture;
    const pb::heartbeat first = fixture.make_heartbeat("entry-1");
    (void)fixture.leader.handle_heartbeat(first, fixture.state, fixture.now);
    const pb::heartbeat_reply again =
        fixture.leader.handle_heartbeat(first, fixture.state, fixture.now);
    CHECK(again.sequence() == 0);
    CHECK(again.lease_ms() == 0);
}

TEST_CASE("fleet: an instance with a diverged state gets the whole state and no lease")
{
    service_fixture fixture;
    pb::heartbeat heartbeat = fixture.make_heartbeat("entry-1");
    heartbeat.set_state_digest(fixture.state.digest() + 1);
    const pb::heartbeat_reply answer =
        fixture.leader.handle_heartbeat(heartbeat, fixture.state, fixture.now);
    CHECK(answer.lease_ms() == 0);
    CHECK(answer.delta().from_version() == 0);
    CHECK(answer.delta().records_size() > 0);
}

TEST_CASE("fleet: an instance that is not in the state is registered once")
{
    service_fixture fixture;
    fixture.run(clock::duration(50));
    REQUIRE(fixture.state.instance("entry-1") != nullptr);
    const std::uint64_t version = fixture.state.version();
    fixture.run(clock::duration(300));
    CHECK(fixture.state.version() == version);
}

TEST_CASE(
    "fleet: a group gets a primary and followers, and a new primary when the first falls silent")
{
    service_fixture fixture;
    fixture.run(clock::duration(1'000));
    REQUIRE(fixture.state.group("kura-ledger-1") != nullptr);
    CHECK(fixture.state.group("kura-ledger-1")->primary() == "c");
    CHECK(fixture.state.group("kura-ledger-1")->term() == 1);
    CHECK(fixture.follow_orders["a"] == 1);
    CHECK(fixture.follow_orders["b"] == 1);
    CHECK(fixture.follow_orders["c"] == 0);
    CHECK(fixture.pushes > 0);
    fixture.run(clock::duration(1'000));
    fixture.silent_server.assign(1, 'c');
    const clock::time_point silent_from = fixture.now;
    while (fixture.state.group("kura-ledger-1")->primary() == "c" &&
           fixture.now - silent_from < clock::duration(2'000)) {
        fixture.run(clock::duration(10));
    }
    fixture.run(clock::duration(300));
    CHECK(fixture.state.group("kura-ledger-1")->primary() == "a");
    CHECK(fixture.state.group("kura-ledger-1")->term() == 2);
}

TEST_CASE("fleet: an allowance report is answered with a grant")
{
    service_fixture fixture;
    fixture.run(clock::duration(2'000));
    pb::heartbeat heartbeat = fixture.make_heartbeat("entry-1");
    pb::allowance_report& report = *heartbeat.add_allowances();
    report.set_organisation("shrine-committee");
    report.set_wanted(5'000);
    const pb::heartbeat_reply answer =
        fixture.leader.handle_heartbeat(heartbeat, fixture.state, fixture.now);
    REQUIRE(answer.grants_size() == 1);
    CHECK(answer.grants(0).amount() == 5'000);
    CHECK(answer.grants(0).valid_ms() == 1'000);
}
