#include "cell_directory.h"
#include "cell_members.h"
#include "cell_service.h"
#include "cell_share_allocator.h"
#include "cell_token_buckets.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

constexpr clock::duration lease{3'500};

pb::server_announcement announcement(std::string_view server, std::uint64_t sequence)
{
    pb::server_announcement told;
    told.set_server(std::string(server));
    told.set_group("kura");
    told.set_address("127.0.0.1:" + std::to_string(9'000 + server.size()));
    told.set_slots(3);
    told.set_sequence(sequence);
    told.set_born_ms(100);
    return told;
}

pb::follow_request follow_of(std::string_view instance, std::uint64_t sequence)
{
    pb::follow_request asked;
    asked.set_instance(std::string(instance));
    asked.set_failure_domain("fukuoka");
    asked.set_incarnation(1);
    asked.set_sequence(sequence);
    return asked;
}

} // namespace

TEST_CASE("cell directory: late announcements change nothing")
{
    cell::directory servers;
    pb::server_announcement leaving = announcement("s1", 5);
    leaving.set_leaving(true);
    CHECK(servers.apply(announcement("s1", 4), at(0)));
    CHECK(servers.apply(leaving, at(10)));
    CHECK(!servers.apply(announcement("s1", 4), at(20)));
    CHECK(servers.find("s1")->announcement.leaving());
    const std::uint64_t revision = servers.revision();
    leaving.set_sequence(6);
    CHECK(!servers.apply(leaving, at(30))); // says the same
    CHECK(servers.revision() == revision);
}

TEST_CASE("cell directory: a server that deregistered stays away until it is born again")
{
    cell::directory servers;
    CHECK(servers.apply(announcement("s1", 4), at(0)));
    pb::server_announcement gone;
    gone.set_server("s1");
    gone.set_gone(true);
    CHECK(servers.apply(gone, at(10)));
    CHECK(servers.group("kura").empty());
    CHECK(!servers.apply(announcement("s1", 9), at(20))); // delayed by a partition
    pb::server_announcement again = announcement("s1", 1);
    again.set_born_ms(200);
    CHECK(servers.apply(again, at(30)));
    CHECK(servers.group("kura").size() == 1);
}

TEST_CASE("cell shares: those in use never pass the whole, whatever is lost")
{
    constexpr std::size_t instances = 5;
    std::mt19937 random(11);
    for (int round = 0; round < 30; ++round) {
        cell::share_allocator leader(at(0), lease);
        std::array<std::uint32_t, instances> held{};
        for (std::int64_t now = 0; now < 20'000; now += 200) {
            leader.expire(at(now));
            std::uint64_t sum = 0;
            for (std::size_t i = 0; i < instances; ++i) {
                const double demand = (now / 5'000) % instances == i ? 50 : 2;
                const std::uint32_t granted =
                    leader.report("org", "i" + std::to_string(i), 1, held.at(i), demand, at(now));
                if (random() % 4 != 0) { // a quarter of the answers is lost
                    held.at(i) = granted;
                }
                sum += held.at(i);
            }
            CHECK(sum <= cell::full_share_ppm);
        }
    }
}

TEST_CASE("cell shares: what an instance holds stays in use while it is heard")
{
    cell::share_allocator all(at(0), clock::duration(3'500));
    all.set_registered_instances({"a", "b"});
    const auto told = [&](const char* instance, std::uint32_t held, std::int64_t time) {
        all.apply_full_report(instance, {"org"});
        return all.report("org", instance, 1, held, 10, at(time));
    };
    static_cast<void>(told("a", 0, 4'000));
    static_cast<void>(told("b", 0, 4'000));
    const std::uint32_t held = told("a", 0, 5'100);
    CHECK(held > 0);
    all.renew_lease("a", at(8'000)); // asked something, without a report
    all.renew_lease("b", at(8'700));
    all.expire(at(8'700));
    CHECK(told("b", 0, 8'700) <= cell::full_share_ppm - held);
    all.expire(at(11'600));
    CHECK(told("b", 0, 11'600) > cell::full_share_ppm - held);
}

TEST_CASE("cell shares: a new leader gives nothing away that may be in use")
{
    cell::share_allocator leader(at(0), lease);
    leader.set_registered_instances({"a", "b"});
    CHECK(leader.report("org", "a", 1, 200'000, 10, at(100)) <= 200'000);
    // Once every instance was heard, nothing unseen is in use.
    leader.apply_full_report("a", {"org"});
    leader.apply_full_report("b", {"org"});
    CHECK(leader.report("org", "b", 1, 0, 10, at(200)) > 0);

    cell::share_allocator alone(at(0), lease);
    alone.set_registered_instances({"a", "gone"});
    CHECK(alone.report("org", "a", 1, 200'000, 10, at(100)) <= 200'000);
    CHECK(alone.report("org", "a", 1, 200'000, 10, at(4'000)) > 200'000);
}

TEST_CASE("cell tokens: the leader's part of the rate, from nothing after an election")
{
    CHECK(cell::central_rate_ppm(8) == 333'333);
    CHECK(cell::central_rate_ppm(59) == 800'000);
    cell::token_buckets leader(at(0));
    leader.set_limits("org", 50, 50);
    CHECK(leader.take("org", 1, cell::full_share_ppm, at(0)) == 0);
    CHECK(leader.take("org", 100, cell::full_share_ppm, at(1'000)) == 50);
    CHECK(leader.take("org", 1, cell::full_share_ppm, at(1'000)) == 0);
    CHECK(leader.take("org", 3, cell::full_share_ppm, at(1'040)) == 2);
    CHECK(leader.take("other", 1, cell::full_share_ppm, at(1'040)) == 0);
}

// A small organisation behind many instances: one bucket would admit what it sends.
TEST_CASE("cell tokens: many instances and a small organisation lose nothing below the rate")
{
    constexpr double rate = 25;
    cell::token_buckets leader(at(0));
    leader.set_limits("org", rate * 0.8, rate * cell::central_burst_fraction(800'000));
    std::mt19937 random(5);
    std::exponential_distribution<double> gap(0.62 * rate / 1'000);
    double now = 5'000;
    int refused = 0;
    constexpr int operations = 2'000;
    for (int i = 0; i < operations; ++i) {
        now += gap(random);
        refused +=
            leader.take("org", 1, cell::full_share_ppm, at(static_cast<std::int64_t>(now))) == 0
                ? 1
                : 0;
    }
    CHECK(refused < operations / 50);
}

TEST_CASE("cell tokens: what instances without the leader may use is held back")
{
    cell::share_allocator leader(at(0), lease);
    leader.set_registered_instances({"a", "b"});
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(10)) == 0);
    CHECK(leader.report("org", "a", 1, 300'000, 5, at(100)) == 300'000);
    leader.apply_full_report("a", {"org"});
    leader.record_confirmation("a", at(100));
    // The other one may hold the rest, and may be without the leader.
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(200)) == 300'000);
    leader.apply_full_report("b", {});
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(200)) ==
          cell::full_share_ppm);
    // The first one is not heard any more: its share is its own until its lease ends.
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(2'000)) == 700'000);
    leader.expire(at(4'000));
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(4'000)) ==
          cell::full_share_ppm);
}

TEST_CASE("cell members: one that was replaced is removed, a quorum stays")
{
    pb::membership members;
    for (const char* name : {"a", "b", "c", "d", "e"}) {
        pb::member& member = *members.add_members();
        member.set_instance(name);
        member.set_voter(true);
    }
    using progress = consensus::core::progress;
    std::vector<progress> seen{{"b", 1, clock::duration(50)},
                               {"c", 1, clock::duration(80)},
                               {"d", 1, clock::duration(9'000)},
                               {"e", 1, clock::duration(30)}};
    CHECK(cell::member_to_remove(members, seen, "a") == "d");
    seen[2].silent_for = clock::duration(5'000);
    CHECK(cell::member_to_remove(members, seen, "a").empty());
    seen[2].silent_for = clock::duration(9'000);
    seen[1].silent_for = clock::duration(9'000);
    CHECK(cell::member_to_remove(members, seen, "a") == "c"); // a, b and e answer
    seen[0].silent_for = clock::duration(9'000);
    CHECK(cell::member_to_remove(members, seen, "a").empty()); // two would be left
    seen[0].silent_for = seen[1].silent_for = clock::duration(50);
    members.mutable_members()->DeleteSubrange(3, 1); // d
    CHECK(cell::member_to_remove(members, seen, "a").empty());
}

TEST_CASE("cell service: late and repeated requests renew nothing")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 3, at(0));
    const pb::follow_reply first = leader.follow(follow_of("e1", 5), state, servers, at(10));
    CHECK(first.sequence() == 5);
    CHECK(first.control_term() == 3);
    CHECK(leader.follow(follow_of("e1", 5), state, servers, at(20)).sequence() == 0);
    CHECK(leader.follow(follow_of("e1", 4), state, servers, at(20)).sequence() == 0);
}

TEST_CASE("cell service: an instance gets shares once it is registered")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 3, at(0));
    pb::follow_request asked = follow_of("e1", 1);
    asked.set_tells_shares(true);
    pb::share_report& report = *asked.add_shares();
    report.set_organisation("org");
    report.set_demand_per_s(5);
    CHECK(leader.follow(asked, state, servers, at(10)).shares(0).share_ppm() == 0);
    const auto commands = leader.pending_registrations(state, at(20));
    REQUIRE(commands.size() == 1);
    CHECK(state.apply(commands.front()).ok());
    CHECK(leader.pending_registrations(state, at(30)).empty());
    asked.set_sequence(2);
    CHECK(leader.follow(asked, state, servers, at(40)).shares(0).share_ppm() > 0);
}

TEST_CASE("cell service: a new leader starts from the members that were noted")
{
    state_machine state(cell_name("main"));
    pb::command noted;
    noted.mutable_note()->set_database("kura");
    noted.mutable_note()->set_seen_primary("p");
    for (const char* name : {"p", "r1", "r2"}) {
        pb::group_member& member = *noted.mutable_note()->add_members();
        member.set_server(name);
        member.set_address(std::string("127.0.0.1:") + (name[0] == 'p' ? "1" : name + 1));
    }
    REQUIRE(state.apply(noted).ok());
    document_content content;
    content.version = 1;
    document_group group;
    group.name = "kura";
    content.groups.push_back(group);
    const auto present = document::make(content);
    REQUIRE(ok(present));
    cell::directory servers; // nobody has announced itself to this leader yet
    cell::service leader({}, 4, at(0));
    bool begins = false;
    for (std::int64_t now = 0; now <= 1'500 && !begins; now += 20) {
        if (promotion::planner* const plan = leader.find_plan("kura");
            plan != nullptr && now % 300 == 0) {
            plan->on_unreachable("p", false, at(now));
        }
        for (const auto& due : leader.advance(value(present).get(), state, servers, at(now))) {
            begins = begins || std::holds_alternative<promotion::begin_decision>(due.action);
        }
    }
    CHECK(begins);
}

TEST_CASE("state: the highest published version counts, whatever the order")
{
    state_machine state(cell_name("main"));
    pb::command publish;
    publish.mutable_publish()->set_name("production");
    publish.mutable_publish()->set_version(7);
    publish.mutable_publish()->set_document("seven");
    publish.mutable_publish()->set_content_hash(77);
    CHECK(state.apply(publish).ok());
    CHECK(state.apply(publish).ok()); // a resend
    pb::command other = publish;
    other.mutable_publish()->set_content_hash(78);
    CHECK(!state.apply(other).ok()); // another document under the same version
    other.mutable_publish()->set_version(6);
    CHECK(state.apply(other).ok()); // older: acknowledged, without effect
    CHECK(state.published("production")->version() == 7);
    other.mutable_publish()->set_version(12);
    CHECK(state.apply(other).ok());
    CHECK(state.published("production")->version() == 12);
}
