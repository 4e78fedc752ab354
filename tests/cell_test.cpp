#include "cell_directory.h"
#include "cell_directory_copy.h"
#include "cell_members.h"
#include "cell_service.h"
#include "cell_share_allocator.h"
#include "cell_token_buckets.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
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
    pb::server_announcement message;
    message.set_server(std::string(server));
    message.set_group("kura");
    message.set_address("127.0.0.1:" + std::to_string(9'000 + server.size()));
    message.set_slots(3);
    message.set_sequence(sequence);
    message.set_born_ms(100);
    return message;
}

pb::follow_request follow_request_from(std::string_view instance, std::uint64_t sequence)
{
    pb::follow_request request;
    request.set_instance(std::string(instance));
    request.set_failure_domain("fukuoka");
    request.set_incarnation(1);
    request.set_sequence(sequence);
    return request;
}

// Records p, r1 and r2 as the members of the group "kura", with p as the primary.
void record_kura(state_machine& state, std::uint64_t born_ms = 0)
{
    pb::command command;
    command.mutable_note()->set_database("kura");
    command.mutable_note()->set_seen_primary("p");
    for (const char* name : {"p", "r1", "r2"}) {
        pb::group_member& member = *command.mutable_note()->add_members();
        member.set_server(name);
        member.set_address(std::string("127.0.0.1:") + (name[0] == 'p' ? "9" : name + 1));
        member.set_born_ms(born_ms);
    }
    REQUIRE(state.apply(command).ok());
}

std::shared_ptr<const document> document_with_kura()
{
    document_content content;
    content.version = 1;
    document_group group;
    group.name = "kura";
    content.groups.push_back(group);
    const auto made = document::make(content);
    REQUIRE(ok(made));
    return value(made);
}

} // namespace

TEST_CASE("cell directory: an entry of another writer does not make the reply unreadable")
{
    cell::directory servers;
    CHECK(servers.apply(announcement("good", 1), at(0)));
    std::vector<pb::server_announcement> odd;
    odd.reserve(9);
    for (int number = 0; number < 9; ++number) {
        odd.push_back(announcement("odd-" + std::to_string(number), 1));
    }
    odd[0].set_server("odd-\xff");
    odd[1].set_server("");
    odd[2].set_group("kura\r\nx");
    odd[3].set_group("");
    odd[4].set_address("127.0.0.1:99999");
    std::string long_address(8'000'000, '1');
    odd[5].set_address(long_address.append(":80"));
    odd[6].set_slots(4'294'967'295);
    odd[7].set_warm_up_left_ms(4'294'967'295);
    odd[8].set_born_ms(18'446'744'073'709'551'615U);
    for (const pb::server_announcement& each : odd) {
        CHECK(!servers.apply(each, at(10)));
    }
    CHECK(servers.rejected() == odd.size());

    pb::follow_reply reply;
    for (const pb::server_announcement& each : servers.servers(at(20))) {
        *reply.add_servers() = each;
    }
    pb::follow_reply received;
    REQUIRE(received.ParseFromString(reply.SerializeAsString()));
    REQUIRE(received.servers_size() == 1);
    CHECK(received.servers(0).server() == "good");
}

TEST_CASE("cell directory: an entry of another writer does not replace the server of its name")
{
    cell::directory servers;
    CHECK(servers.apply(announcement("s1", 1), at(0)));
    const std::uint64_t revision = servers.revision();
    pb::server_announcement odd = announcement("s1", 18'446'744'073'709'551'615U);
    CHECK(!servers.apply(odd, at(10)));
    odd = announcement("s1", 2);
    odd.set_address("127.0.0.1:0");
    CHECK(!servers.apply(odd, at(10)));
    CHECK(servers.revision() == revision);
    servers.apply(announcement("s1", 2), at(14'000));
    servers.evict_stale(at(16'000));
    REQUIRE(servers.find("s1") != nullptr);
    CHECK(servers.find("s1")->announcement.address() == announcement("s1", 1).address());
}

TEST_CASE("cell directory: late announcements are ignored")
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
    CHECK(!servers.apply(leaving, at(30))); // no routing change
    CHECK(servers.revision() == revision);
}

// Guards against instances that learn neither of a server's warm-up nor of its end, and against a
// directory that is sent at every announcement of a cold server.
TEST_CASE("cell directory: the begin and the end of a warm-up are published, its progress is not")
{
    cell::directory servers;
    pb::server_announcement cold = announcement("s1", 1);
    CHECK(servers.apply(cold, at(0)));
    std::uint64_t sequence = 1;
    const auto is_published = [&](std::uint32_t left_ms) {
        cold.set_sequence(++sequence);
        cold.set_warm_up_left_ms(left_ms);
        return servers.apply(cold, at(0));
    };
    CHECK(is_published(5'000));
    CHECK_FALSE(is_published(3'800));
    CHECK_FALSE(is_published(100));
    CHECK(is_published(0));
    CHECK_FALSE(is_published(0));
    CHECK(is_published(5'000));
    CHECK(is_published(6'000)); // begins anew
}

TEST_CASE("cell directory: a deregistered server is absent until it restarts")
{
    cell::directory servers;
    CHECK(servers.apply(announcement("s1", 4), at(0)));
    pb::server_announcement gone;
    gone.set_server("s1");
    gone.set_gone(true);
    CHECK(servers.apply(gone, at(10)));
    CHECK(servers.group("kura").empty());
    CHECK(!servers.apply(announcement("s1", 9), at(20))); // delayed by a partition
    pb::server_announcement restarted = announcement("s1", 1);
    restarted.set_born_ms(200);
    CHECK(servers.apply(restarted, at(30)));
    CHECK(servers.group("kura").size() == 1);
}

namespace {

pb::server_announcement deregistration(std::string_view server)
{
    pb::server_announcement gone;
    gone.set_server(std::string(server));
    gone.set_gone(true);
    return gone;
}

// A directory in which the start 100 of "s1" has deregistered after its leaving period.
cell::directory directory_after_departure()
{
    cell::directory servers(clock::duration(7'000));
    pb::server_announcement leaving = announcement("s1", 4);
    servers.apply(leaving, at(0));
    leaving.set_sequence(5);
    leaving.set_leaving(true);
    servers.apply(leaving, at(1'000));
    CHECK(servers.apply(deregistration("s1"), at(8'300)));
    CHECK(servers.group("kura").empty());
    return servers;
}

} // namespace

// Guards against a running server that control takes for gone: it holds commits that control then
// does not look for.
TEST_CASE("cell directory: a deregistration that was held up does not end a later start")
{
    cell::directory servers = directory_after_departure();
    pb::server_announcement restarted = announcement("s1", 1);
    restarted.set_born_ms(200);
    CHECK(servers.apply(restarted, at(9'000)));
    std::int64_t now = 10'000;
    pb::server_announcement held_up = deregistration("s1");
    SUBCASE("which is ready") {}
    SUBCASE("which is leaving itself")
    {
        restarted.set_sequence(2);
        restarted.set_leaving(true);
        CHECK(servers.apply(restarted, at(9'500)));
        now = 14'000;
    }
    SUBCASE("passed on by another control instance")
    {
        held_up = announcement("s1", 5);
        held_up.set_leaving(true);
        held_up.set_gone(true);
    }
    const std::uint64_t revision = servers.revision();
    CHECK(!servers.apply(held_up, at(now)));
    CHECK(servers.revision() == revision);
    REQUIRE(servers.group("kura").size() == 1);
    CHECK(servers.group("kura").front()->announcement.born_ms() == 200);
}

TEST_CASE("cell directory: an older deregistration that is passed on ends no running server")
{
    cell::directory servers(clock::duration(7'000));
    CHECK(servers.apply(announcement("s1", 6), at(0)));
    pb::server_announcement gone = announcement("s1", 5);
    gone.set_gone(true);
    CHECK(!servers.apply(gone, at(10)));
    CHECK(servers.group("kura").size() == 1);
    gone.set_sequence(6);
    CHECK(servers.apply(gone, at(20)));
    CHECK(servers.group("kura").empty());
}

TEST_CASE("cell directory: a start that goes on announcing itself is running")
{
    cell::directory servers = directory_after_departure();
    pb::server_announcement again = announcement("s1", 6);
    again.set_leaving(true);
    CHECK(!servers.apply(again, at(8'400))); // may have been held up
    again.set_sequence(7);
    CHECK(!servers.apply(again, at(8'401))); // together with that one
    again.set_sequence(8);
    CHECK(servers.apply(again, at(9'600)));
    CHECK(servers.group("kura").size() == 1);
}

TEST_CASE("cell directory: the time since a server is leaving does not begin anew")
{
    cell::directory servers;
    pb::server_announcement leaving = announcement("s1", 5);
    leaving.set_leaving(true);
    const auto leaving_ms = [](const cell::directory& known, std::int64_t now) {
        return known.servers(at(now)).front().leaving_ms();
    };
    CHECK(servers.apply(announcement("s1", 4), at(0)));
    CHECK(servers.apply(leaving, at(1'000)));
    SUBCASE("with further announcements")
    {
        leaving.set_sequence(6);
        CHECK(!servers.apply(leaving, at(2'200)));
        CHECK(leaving_ms(servers, 3'000) == 2'000);
    }
    SUBCASE("at another control instance, which may have heard of it later")
    {
        cell::directory other;
        other.apply(announcement("s1", 4), at(0));
        leaving.set_sequence(6);
        other.apply(leaving, at(2'200));
        const std::uint64_t revision = other.revision();
        CHECK(other.apply(servers.servers(at(3'000)).front(), at(3'010)));
        CHECK(other.revision() > revision);
        CHECK(leaving_ms(other, 3'010) == 2'000);
        CHECK(!servers.apply(other.servers(at(4'000)).front(), at(4'000)));
        CHECK(leaving_ms(servers, 4'000) == 3'000);
    }
    SUBCASE("after its entry was removed, as it was silent")
    {
        servers.evict_stale(at(17'000));
        REQUIRE(servers.find("s1") == nullptr);
        leaving.set_sequence(7);
        servers.apply(leaving, at(18'000));
        CHECK(leaving_ms(servers, 18'000) == 17'000);
    }
    SUBCASE("but with a restart of the server")
    {
        pb::server_announcement restarted = announcement("s1", 1);
        restarted.set_born_ms(200);
        CHECK(servers.apply(restarted, at(2'000)));
        CHECK(!servers.servers(at(2'000)).front().has_leaving_ms());
        restarted.set_sequence(2);
        restarted.set_leaving(true);
        servers.apply(restarted, at(4'000));
        CHECK(leaving_ms(servers, 4'500) == 500);
    }
}

TEST_CASE("cell directory: a server that is first heard of while it is leaving has no whole period")
{
    cell::directory servers;
    pb::server_announcement leaving = announcement("s1", 5);
    leaving.set_leaving(true);
    CHECK(servers.apply(leaving, at(0)));
    CHECK(servers.servers(at(0)).front().leaving_ms() == 5'000);
}

TEST_CASE("cell directory: a copy passes on for how long a server has been leaving by now")
{
    pb::follow_reply reply;
    reply.set_control_term(1);
    reply.set_directory_revision(1);
    pb::server_announcement& leaving = *reply.add_servers();
    leaving = announcement("s1", 5);
    leaving.set_leaving(true);
    leaving.set_leaving_ms(2'000);
    cell::directory_copy copy;
    CHECK(copy.apply(reply, at(100)));
    std::uint64_t base = 0;
    pb::follow_request request;
    CHECK(copy.changes_for(request, at(4'100), base).front().leaving_ms() == 6'000);
    CHECK(copy.servers(at(4'100)).front().leaving_ms() == 6'000);
}

TEST_CASE("cell shares: shares in use never exceed 100 % when replies are lost")
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
                if (random() % 4 != 0) { // a quarter of the replies is lost
                    held.at(i) = granted;
                }
                sum += held.at(i);
            }
            CHECK(sum <= cell::full_share_ppm);
        }
    }
}

TEST_CASE("cell shares: an instance's share stays in use while it sends requests")
{
    cell::share_allocator leader(at(0), clock::duration(3'500));
    leader.set_registered_instances({"a", "b"});
    const auto report = [&](const char* instance, std::uint32_t held, std::int64_t time) {
        leader.apply_full_report(instance, {"org"});
        return leader.report("org", instance, 1, held, 10, at(time));
    };
    static_cast<void>(report("a", 0, 4'000));
    static_cast<void>(report("b", 0, 4'000));
    const std::uint32_t held = report("a", 0, 5'100);
    CHECK(held > 0);
    leader.renew_lease("a", at(8'000)); // a request without a report
    leader.renew_lease("b", at(8'700));
    leader.expire(at(8'700));
    CHECK(report("b", 0, 8'700) <= cell::full_share_ppm - held);
    leader.expire(at(11'600));
    CHECK(report("b", 0, 11'600) > cell::full_share_ppm - held);
}

TEST_CASE("cell shares: a new leader does not grant shares that may be in use")
{
    cell::share_allocator leader(at(0), lease);
    leader.set_registered_instances({"a", "b"});
    CHECK(leader.report("org", "a", 1, 200'000, 10, at(100)) <= 200'000);
    // Once every instance has reported, no share is in use without the leader's knowledge.
    leader.apply_full_report("a", {"org"});
    leader.apply_full_report("b", {"org"});
    CHECK(leader.report("org", "b", 1, 0, 10, at(200)) > 0);

    cell::share_allocator incomplete(at(0), lease);
    incomplete.set_registered_instances({"a", "gone"});
    CHECK(incomplete.report("org", "a", 1, 200'000, 10, at(100)) <= 200'000);
    CHECK(incomplete.report("org", "a", 1, 200'000, 10, at(4'000)) > 200'000);
}

TEST_CASE("cell tokens: buckets fill at the leader's part of the rate and start empty")
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

// Guards against refusals below the rate of a small organisation whose load is spread over many
// instances: a single bucket would admit that load.
TEST_CASE("cell tokens: a small organisation on many instances is rarely refused below its rate")
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

TEST_CASE("cell tokens: the share of instances without the leader is reserved for them")
{
    cell::share_allocator leader(at(0), lease);
    leader.set_registered_instances({"a", "b"});
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(10)) == 0);
    CHECK(leader.report("org", "a", 1, 300'000, 5, at(100)) == 300'000);
    leader.apply_full_report("a", {"org"});
    leader.record_confirmation("a", at(100));
    // Instance b may have the remaining share and may have lost contact with the leader.
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(200)) == 300'000);
    leader.apply_full_report("b", {});
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(200)) ==
          cell::full_share_ppm);
    // Instance a has fallen silent: its share is reserved until its lease expires.
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(2'000)) == 700'000);
    leader.expire(at(4'000));
    CHECK(leader.confirmed_share("org", cell::confirmation_timeout, at(4'000)) ==
          cell::full_share_ppm);
}

TEST_CASE("cell members: a replaced member is removed if enough live voters remain")
{
    pb::membership members;
    for (const char* name : {"a", "b", "c", "d", "e"}) {
        pb::member& member = *members.add_members();
        member.set_instance(name);
        member.set_voter(true);
    }
    using progress = consensus::core::progress;
    std::vector<progress> reported{{"b", 1, clock::duration(50)},
                                   {"c", 1, clock::duration(80)},
                                   {"d", 1, clock::duration(9'000)},
                                   {"e", 1, clock::duration(30)}};
    CHECK(cell::member_to_remove(members, reported, "a") == "d");
    reported[2].time_since_contact = clock::duration(5'000);
    CHECK(cell::member_to_remove(members, reported, "a").empty());
    reported[2].time_since_contact = clock::duration(9'000);
    reported[1].time_since_contact = clock::duration(9'000);
    CHECK(cell::member_to_remove(members, reported, "a") == "c"); // a, b and e are live
    reported[0].time_since_contact = clock::duration(9'000);
    CHECK(cell::member_to_remove(members, reported, "a").empty()); // only two live voters
    reported[0].time_since_contact = reported[1].time_since_contact = clock::duration(50);
    members.mutable_members()->DeleteSubrange(3, 1); // d
    CHECK(cell::member_to_remove(members, reported, "a").empty());
}

// A member was replaced, the leader failed before it had removed the old one, and the next leader
// lost its disk 3.6 s later: the remaining two of four were no quorum any more.
TEST_CASE("cell members: a silent one of an even number of voters is removed soon")
{
    pb::membership members;
    for (const char* name : {"a", "old", "c", "new"}) {
        pb::member& member = *members.add_members();
        member.set_instance(name);
        member.set_voter(true);
    }
    using progress = consensus::core::progress;
    std::vector<progress> reported{{"old", 1, clock::duration(2'000)},
                                   {"c", 1, clock::duration(80)},
                                   {"new", 1, clock::duration(50)}};
    CHECK(cell::member_to_remove(members, reported, "a").empty());
    reported[0].time_since_contact = clock::duration(2'600);
    CHECK(cell::member_to_remove(members, reported, "a") == "old");
    reported[1].time_since_contact = clock::duration(2'600);
    CHECK(cell::member_to_remove(members, reported, "a").empty()); // only two live voters
    reported[1].time_since_contact = clock::duration(80);
    members.mutable_members(3)->set_voter(false); // still joining: three voters
    CHECK(cell::member_to_remove(members, reported, "a").empty());
}

TEST_CASE("cell service: late and repeated requests renew no lease")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 3, at(0));
    const pb::follow_reply first =
        leader.follow(follow_request_from("e1", 5), state, servers, at(10));
    CHECK(first.sequence() == 5);
    CHECK(first.control_term() == 3);
    CHECK(leader.follow(follow_request_from("e1", 5), state, servers, at(20)).sequence() == 0);
    CHECK(leader.follow(follow_request_from("e1", 4), state, servers, at(20)).sequence() == 0);
}

TEST_CASE("cell service: only registered instances get shares")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 3, at(0));
    pb::follow_request request = follow_request_from("e1", 1);
    request.set_tells_shares(true);
    pb::share_report& report = *request.add_shares();
    report.set_organisation("org");
    report.set_demand_per_s(5);
    CHECK(leader.follow(request, state, servers, at(10)).shares(0).share_ppm() == 0);
    CHECK(leader.pending_registrations(state, at(20)).empty()); // the fleet is still starting
    const auto commands = leader.pending_registrations(state, at(1'010));
    REQUIRE(commands.size() == 1);
    CHECK(state.apply(commands.front()).ok());
    CHECK(leader.pending_registrations(state, at(1'020)).empty());
    request.set_sequence(2);
    CHECK(leader.follow(request, state, servers, at(1'030)).shares(0).share_ppm() > 0);
}

TEST_CASE("cell service: a new leader starts from the recorded members")
{
    state_machine state(cell_name("main"));
    record_kura(state);
    const std::shared_ptr<const document> current = document_with_kura();
    cell::directory servers; // no server has announced itself to this leader yet
    cell::service leader({}, 4, at(0));
    bool begins = false;
    for (std::int64_t now = 0; now <= 1'500 && !begins; now += 20) {
        if (promotion::planner* const planner = leader.find_planner("kura");
            planner != nullptr && now % 300 == 0) {
            planner->on_unreachable("p", false, at(now));
        }
        for (const auto& requested : leader.advance(current.get(), state, servers, at(now))) {
            begins = begins || std::holds_alternative<promotion::begin_decision>(requested.action);
        }
    }
    CHECK(begins);
}

// The next leader promoted a server without the commits that the departed one had had alone.
TEST_CASE("cell service: members are recorded once the primary has answered after a departure")
{
    state_machine state(cell_name("main"));
    record_kura(state);
    const std::shared_ptr<const document> current = document_with_kura();
    cell::directory servers;
    for (const char* name : {"p", "r1", "r2"}) {
        pb::server_announcement announcement;
        announcement.set_server(name);
        announcement.set_group("kura");
        announcement.set_address(std::string("127.0.0.1:") + (name[0] == 'p' ? "9" : name + 1));
        announcement.set_sequence(1);
        announcement.set_is_primary(name[0] == 'p');
        REQUIRE(servers.apply(announcement, at(0)));
    }
    pb::server_announcement gone;
    gone.set_server("r2");
    gone.set_gone(true);
    REQUIRE(servers.apply(gone, at(0)));
    cell::service leader({}, 4, at(0));
    const auto recorded_until = [&](std::int64_t from, std::int64_t until) {
        std::optional<promotion::recorded_group> recorded;
        for (std::int64_t now = from; now <= until; now += 20) {
            for (const auto& requested : leader.advance(current.get(), state, servers, at(now))) {
                if (const auto* const record =
                        std::get_if<promotion::record_members>(&requested.action)) {
                    recorded = record->group;
                }
            }
        }
        return recorded;
    };
    CHECK(!recorded_until(0, 800).has_value());
    leader.find_planner("kura")->on_primary("p", {1, 20}, at(810), at(820));
    const std::optional<promotion::recorded_group> recorded = recorded_until(820, 1'500);
    REQUIRE(recorded.has_value());
    CHECK(recorded->members.size() == 2);
    CHECK(recorded->required == log_position{1, 20});
}

// Guards against a new leader that leaves out a running replica whose earlier start deregistered.
TEST_CASE("cell service: a recorded start later than the deregistered one is a member")
{
    state_machine state(cell_name("main"));
    record_kura(state, 200);
    const std::shared_ptr<const document> current = document_with_kura();
    cell::directory servers;
    pb::server_announcement earlier = announcement("r2", 1);
    earlier.set_address("127.0.0.1:2");
    REQUIRE(servers.apply(earlier, at(0)));
    REQUIRE(servers.apply(deregistration("r2"), at(0)));
    bool is_left_out = false;
    SUBCASE("of an earlier start") {}
    SUBCASE("of the recorded start")
    {
        earlier.set_born_ms(200);
        REQUIRE(servers.apply(earlier, at(0)));
        REQUIRE(servers.apply(deregistration("r2"), at(0)));
        is_left_out = true;
    }
    cell::service leader({}, 4, at(0));
    std::optional<promotion::recorded_group> recorded;
    for (std::int64_t now = 0; now <= 3'000; now += 20) {
        promotion::planner* const planner = leader.find_planner("kura");
        if (planner != nullptr && now % 100 == 0) {
            planner->on_primary("p", {1, 20}, at(now), at(now));
        }
        for (const auto& requested : leader.advance(current.get(), state, servers, at(now))) {
            if (const auto* const record =
                    std::get_if<promotion::record_members>(&requested.action)) {
                recorded = record->group;
            }
        }
    }
    CHECK(recorded.has_value() == is_left_out); // the record changes only with the members
    CHECK((!recorded || recorded->members.size() == 2));
}

// Guards against regions of the document that do not reach the planner, and against a change of a
// primary that has only not announced itself to a new leader yet.
TEST_CASE("cell service: a primary outside the regions of all routes is replaced")
{
    document_content content;
    content.version = 1;
    document_group group;
    group.name = "kura";
    content.groups.push_back(group);
    for (const std::string name : {"r1", "r2"}) {
        document_route route;
        route.name = name;
        route.database = name;
        route.group = "kura";
        route.allowed_regions = {"north", name};
        content.routes.push_back(route);
    }
    const auto current = document::make(content);
    REQUIRE(ok(current));
    const auto begins = [&](std::string_view region_of_primary) {
        const state_machine state(cell_name("main"));
        cell::directory servers;
        for (const std::string name : {"p", "other"}) {
            pb::server_announcement server = announcement(name, 1);
            server.set_failure_domain(name);
            server.set_is_primary(name == "p");
            servers.apply(server, at(0));
        }
        cell::service_settings settings;
        settings.regions = {{"p", std::string(region_of_primary)}, {"other", "north"}};
        cell::service leader(settings, 4, at(0));
        bool has_begun = false;
        for (std::int64_t now = 0; now <= 6'000; now += 20) {
            if (promotion::planner* const planner = leader.find_planner("kura")) {
                planner->on_primary("p", {1, 10}, at(now), at(now));
                planner->on_not_primary("other", at(now));
            }
            for (const auto& requested :
                 leader.advance(value(current).get(), state, servers, at(now))) {
                has_begun = has_begun ||
                            std::holds_alternative<promotion::begin_decision>(requested.action);
            }
        }
        return has_begun;
    };
    CHECK_FALSE(begins("north"));
    CHECK(begins("r1")); // only one of the routes allows it
    CHECK(begins("south"));
}

// Guards against instances whose groups have homes, and which therefore can't observe the
// primaries, reading at the primaries for lack of positions; and against positions that look newer
// than they are.
TEST_CASE("cell service: positions of the primaries are told to groups with homes, with their age")
{
    document_content content;
    content.version = 1;
    document_group group;
    group.name = "kura";
    group.connection_limit = 1;
    content.groups.push_back(group);
    const auto current = document::make(content);
    REQUIRE(ok(current));
    const auto positions = [&](double connections_per_instance, bool is_relay) {
        const state_machine state(cell_name("main"));
        cell::directory servers;
        servers.apply(announcement("p", 1), at(0));
        cell::service_settings settings;
        settings.home_connections_per_instance = connections_per_instance;
        cell::service leader(settings, 4, at(0));
        static_cast<void>(leader.follow(follow_request_from("entry-1", 1), state, servers, at(0)));
        for (std::int64_t now = 0; now <= 3'000; now += 100) {
            static_cast<void>(
                leader.follow(follow_request_from("entry-1", 2 + static_cast<std::uint64_t>(now)),
                              state, servers, at(now)));
            static_cast<void>(leader.advance(value(current).get(), state, servers, at(now)));
        }
        promotion::planner* const planner = leader.find_planner("kura");
        REQUIRE(planner != nullptr);
        planner->on_primary("p", {1, 10}, at(2'900), at(2'950));
        pb::follow_request request = follow_request_from("entry-2", 1);
        request.set_is_relay(is_relay);
        return leader.follow(request, state, servers, at(3'000)).positions();
    };
    CHECK(positions(0, false).empty());
    CHECK(positions(2, true).empty()); // relays observe the primaries themselves
    const auto told = positions(2, false);
    REQUIRE(told.size() == 1);
    CHECK(told[0].server() == "p");
    CHECK(told[0].index() == 10);
    CHECK(told[0].age_ms() == 100);
}

TEST_CASE("state: the highest published version is in force in any order of arrival")
{
    state_machine state(cell_name("main"));
    pb::command publish;
    publish.mutable_publish()->set_name("production");
    publish.mutable_publish()->set_version(7);
    publish.mutable_publish()->set_document("seven");
    publish.mutable_publish()->set_content_hash(77);
    CHECK(state.apply(publish).ok());
    CHECK(state.apply(publish).ok()); // a retry
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

// Guards against an instance that learns from a new leader that no fence is in force while the
// request of the previous one may still take effect.
TEST_CASE("cell service: a new leader's first reply tells the fence of an unfinished promotion")
{
    state_machine state(cell_name("main"));
    record_kura(state);
    pb::command command;
    command.mutable_begin()->set_database("kura");
    command.mutable_begin()->set_new_term(1);
    REQUIRE(state.apply(command).ok());
    command.mutable_request()->set_database("kura");
    command.mutable_request()->set_term(1);
    command.mutable_request()->set_server("r1");
    REQUIRE(state.apply(command).ok());
    const cell::directory servers;
    cell::service leader({}, 4, at(0));
    const pb::follow_reply reply =
        leader.follow(follow_request_from("e1", 1), state, servers, at(10));
    REQUIRE(reply.fences_size() == 1);
    CHECK(reply.fences(0).group() == "kura");
    CHECK(reply.fences(0).candidates(0) == "r1");
}
