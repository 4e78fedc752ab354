// Scripted failures of the consensus core over journals on fake disks.
#include "consensus_network.h"

#include <doctest/doctest.h>

#include <string>

using primrosehead::clock;
using primrosehead::error_kind;
using primrosehead::failure;
using primrosehead::ok;
using primrosehead::testing::consensus_network;
using primrosehead::testing::network_options;
namespace consensus = primrosehead::consensus;
namespace pb = primrosehead::pb;

namespace {

void propose_many(consensus_network& network, int count, const std::string& prefix)
{
    for (int number = 0; number < count; ++number) {
        network.propose(prefix + std::to_string(number));
        network.step();
    }
}

pb::member make_member(const std::string& name, const std::string& disk_id)
{
    pb::member member;
    member.set_instance(name);
    member.set_disk_id(disk_id);
    return member;
}

std::string any_follower(consensus_network& network)
{
    const std::string leader = network.current_leader();
    for (const std::string& name : network.running_names()) {
        if (name != leader) {
            return name;
        }
    }
    return {};
}

bool is_voter(consensus_network& network, const std::string& name)
{
    for (const pb::member& member :
         network.at(network.current_leader()).core().members().members()) {
        if (member.instance() == name) {
            return member.voter();
        }
    }
    return false;
}

} // namespace

TEST_CASE("consensus: three instances elect one leader and commit everywhere")
{
    consensus_network network({});
    REQUIRE(!network.run_until_leader().empty());
    propose_many(network, 5, "write ");
    network.run(clock::duration(200));
    CHECK(network.command_committed("write 4"));
    for (const std::string& name : network.names()) {
        CHECK(network.at(name).applied_index() == network.committed_index());
    }
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a single instance elects itself and commits")
{
    network_options options;
    options.members = 1;
    consensus_network network(options);
    REQUIRE(!network.run_until_leader().empty());
    propose_many(network, 3, "write ");
    CHECK(network.command_committed("write 2"));
}

TEST_CASE("consensus: after the leader's crash another one leads and nothing committed is lost")
{
    consensus_network network({});
    const std::string first = network.run_until_leader();
    propose_many(network, 10, "before ");
    network.run(clock::duration(100));
    network.crash(first);
    network.run(clock::duration(50));
    const std::string second = network.run_until_leader();
    REQUIRE(!second.empty());
    CHECK(second != first);
    propose_many(network, 10, "after ");
    network.restart(first);
    network.run(clock::duration(1'000));
    CHECK(network.command_committed("before 9"));
    CHECK(network.command_committed("after 9"));
    CHECK(network.at(first).applied_index() == network.committed_index());
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a member that a new leader never heard counts as silent since the election")
{
    consensus_network network({.seed = 5, .members = 5});
    const std::string first = network.run_until_leader();
    network.crash(first); // replaced by another machine: it never comes back
    const std::string second = network.run_until_leader();
    REQUIRE(!second.empty());
    constexpr clock::duration outage{3'000};
    network.run(outage);
    REQUIRE(network.current_leader() == second);
    bool is_listed = false;
    const auto& leader = network.at(second);
    const clock::time_point leader_now = network.now() + leader.options().clock_offset;
    for (const auto& each : leader.core().member_progress(leader_now)) {
        CHECK((each.time_since_contact >= outage) == (each.instance == first));
        is_listed = is_listed || each.instance == first;
    }
    CHECK(is_listed);
}

TEST_CASE(
    "consensus: after all lost power, a leader is there soon after an old one's lease is over")
{
    constexpr int seeds = 20;
    clock::duration total{0};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        consensus_network network({.seed = seed, .members = 5});
        REQUIRE(!network.run_until_leader().empty());
        for (const std::string& name : network.names()) {
            network.crash(name);
        }
        for (const std::string& name : network.names()) {
            network.restart(name); // within 0.3 s
            network.run(clock::duration(60));
        }
        const clock::time_point started_at = network.now();
        REQUIRE(!network.run_until_leader().empty());
        total += network.now() - started_at;
        CHECK(network.violations().empty());
    }
    // Nobody votes for election_min after a start; a majority is through with that 0.12 s before
    // the last one.
    const consensus::core_settings default_settings;
    CHECK(total / seeds <= default_settings.election_min + default_settings.heartbeat * 2);
}

TEST_CASE("consensus: a leader that is cut off steps down and is not current")
{
    consensus_network network({});
    const std::string first = network.run_until_leader();
    network.isolate(first);
    network.run(clock::duration(320));
    CHECK(network.at(first).core().role() != consensus::role::leader);
    CHECK_FALSE(network.at(first).core().is_current(network.now() +
                                                    network.at(first).options().clock_offset));
    const std::string second = network.run_until_leader();
    CHECK(!second.empty());
    CHECK(second != first);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: an instance cut off for long does not disturb when it comes back")
{
    consensus_network network({});
    const std::string leader = network.run_until_leader();
    const std::string isolated = any_follower(network);
    const std::uint64_t term = network.highest_term();
    network.isolate(isolated);
    network.run(clock::duration(60'000));
    CHECK(network.at(isolated).core().term() == term);
    CHECK_FALSE(network.at(isolated).core().is_current(
        network.now() + network.at(isolated).options().clock_offset));
    network.heal_links();
    network.run(clock::duration(5'000));
    CHECK(network.highest_term() == term);
    CHECK(network.current_leader() == leader);
}

TEST_CASE("consensus: a one-way view of the leader does not depose it")
{
    network_options options;
    options.members = 5;
    consensus_network network(options);
    const std::string leader = network.run_until_leader();
    const std::string isolated = any_follower(network);
    network.cut_link(leader, isolated);
    network.run(clock::duration(10'000));
    CHECK(network.current_leader() == leader);
}

TEST_CASE("consensus: a new cell registers the disks that took part in its first election")
{
    network_options options;
    options.disks_registered = false;
    consensus_network network(options);
    network.crash("c3");
    network.run(clock::duration(5'000));
    CHECK(network.current_leader().empty());
    network.restart("c3");
    const std::string leader = network.run_until_leader();
    REQUIRE(!leader.empty());
    for (const pb::member& member : network.at(leader).core().members().members()) {
        CHECK(member.disk_id() == "disk-" + member.instance());
    }
    network.run(clock::duration(100));
    network.crash(leader);
    network.run(clock::duration(50));
    CHECK(!network.run_until_leader().empty());
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a lost disk joins as a learner and then counts, so a second one can be lost")
{
    network_options options;
    options.snapshot_after = 10;
    consensus_network network(options);
    const std::string leader = network.run_until_leader();
    propose_many(network, 50, "before ");
    const std::string lost = any_follower(network);
    network.lose_disk(lost);
    network.restart(lost);
    network.run(clock::duration(1'000));
    CHECK(network.at(lost).applied_index() == 0);
    network.run(clock::duration(5'000));
    REQUIRE(is_voter(network, lost));
    CHECK(network.at(lost).core().role() == consensus::role::follower);
    std::string other;
    for (const std::string& name : network.names()) {
        other = name != leader && name != lost ? name : other;
    }
    network.crash(other);
    network.run(clock::duration(500));
    propose_many(network, 5, "after ");
    network.run(clock::duration(500));
    CHECK(network.command_committed("before 49"));
    CHECK(network.command_committed("after 4"));
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: two lost disks of three never elect a leader")
{
    consensus_network network({});
    const std::string leader = network.run_until_leader();
    propose_many(network, 5, "before ");
    for (const std::string& name : network.names()) {
        if (name != leader) {
            network.lose_disk(name);
            network.restart(name);
        }
    }
    network.run(clock::duration(20'000));
    CHECK(network.current_leader().empty());
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a new member becomes a voter once it holds everything")
{
    network_options options;
    options.snapshot_after = 10;
    consensus_network network(options);
    REQUIRE(!network.run_until_leader().empty());
    propose_many(network, 100, "write ");
    const std::string disk = network.start_nonmember("c4");
    REQUIRE(ok(network.add_member(make_member("c4", disk))));
    const auto second = network.add_member(make_member("c5", "disk-c5"));
    REQUIRE(!ok(second));
    CHECK(failure(second).kind == error_kind::version_conflict);
    network.run(clock::duration(2'000));
    CHECK(is_voter(network, "c4"));
    CHECK(network.at("c4").applied_index() == network.committed_index());
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a removed leader hands over and does not come back")
{
    consensus_network network({});
    const std::string first = network.run_until_leader();
    REQUIRE(ok(network.remove_member(first)));
    network.run(clock::duration(200));
    const std::string second = network.run_until_leader();
    REQUIRE(!second.empty());
    CHECK(second != first);
    network.run(clock::duration(3'000));
    CHECK(network.at(first).core().role() == consensus::role::learner);
    CHECK(network.at(second).core().members().members_size() == 2);
    CHECK(network.current_leader() == second);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a removal that would leave no answering majority is refused")
{
    consensus_network network({});
    const std::string leader = network.run_until_leader();
    const std::string lost = any_follower(network);
    network.crash(lost);
    network.run(clock::duration(500));
    for (const std::string& name : network.running_names()) {
        if (name == leader) {
            continue;
        }
        const auto removed = network.remove_member(name);
        REQUIRE(!ok(removed));
        CHECK(failure(removed).kind == error_kind::no_quorum);
    }
    CHECK(ok(network.remove_member(lost)));
}

TEST_CASE("consensus: a frozen leader is not current when it wakes")
{
    consensus_network network({});
    const std::string first = network.run_until_leader();
    network.pause(first);
    network.run(clock::duration(3'000));
    const std::string second = network.current_leader();
    REQUIRE(!second.empty());
    network.resume(first);
    network.run(clock::duration(1'000));
    CHECK(network.current_leader() == second);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a follower far behind catches up by a snapshot in chunks")
{
    network_options options;
    options.snapshot_after = 20;
    options.state_bytes = 600'000;
    consensus_network network(options);
    REQUIRE(!network.run_until_leader().empty());
    const std::string isolated = any_follower(network);
    network.isolate(isolated);
    propose_many(network, 600, "write ");
    network.heal_links();
    network.run(clock::duration(1'000));
    CHECK(network.at(isolated).applied_index() == network.committed_index());
    CHECK(network.at(isolated).digest() == network.at(network.current_leader()).digest());
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: restart of all instances after hundreds of changes keeps every entry")
{
    consensus_network network({});
    REQUIRE(!network.run_until_leader().empty());
    propose_many(network, 400, "write ");
    network.run(clock::duration(200));
    const std::uint64_t before = network.committed_index();
    for (const std::string& name : network.names()) {
        network.crash(name);
    }
    for (const std::string& name : network.names()) {
        network.restart(name);
    }
    const std::string leader = network.run_until_leader();
    REQUIRE(!leader.empty());
    network.run(clock::duration(500));
    CHECK(network.at(leader).applied_index() > before);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: settings that can't work are refused")
{
    consensus::core_settings settings;
    settings.instance = primrosehead::instance_name("c1");
    settings.disk_id = "disk";
    settings.heartbeat = clock::duration(200);
    const auto created = consensus::core::create(settings, {}, clock::time_point{});
    REQUIRE(!ok(created));
    CHECK(failure(created).kind == error_kind::bad_settings);
}

TEST_CASE("consensus: a log that does not fit the hard state or has a gap is refused")
{
    consensus::core_settings settings;
    settings.instance = primrosehead::instance_name("c1");
    settings.disk_id = "disk";
    consensus::persisted_state stored;
    stored.hard_state.set_term(1);
    pb::log_entry entry;
    entry.set_index(1);
    entry.set_term(2);
    stored.entries.push_back(entry);
    const auto newer = consensus::core::create(settings, stored, clock::time_point{});
    REQUIRE(!ok(newer));
    CHECK(failure(newer).kind == error_kind::corrupt_storage);
    stored.hard_state.set_term(2);
    stored.entries.front().set_index(2);
    const auto gap = consensus::core::create(settings, stored, clock::time_point{});
    REQUIRE(!ok(gap));
    CHECK(failure(gap).kind == error_kind::corrupt_storage);
}

namespace {

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

// Messages and bytes between all instances in ten seconds without faults.
traffic traffic_in_ten_seconds(int members, int commands_per_second)
{
    network_options options;
    options.members = members;
    options.snapshot_after = 1'000'000;
    consensus_network network(options);
    network.run_until_leader();
    network.run(clock::duration(1'000));
    const std::uint64_t messages = network.messages_sent();
    const std::uint64_t bytes = network.bytes_sent();
    const int interval_ms = commands_per_second == 0 ? 1'000 : 1'000 / commands_per_second;
    for (int time = 0; time < 10'000; time += interval_ms) {
        if (commands_per_second > 0) {
            network.propose(std::string(100, 'x'));
        }
        network.run(clock::duration(interval_ms));
    }
    return traffic{network.messages_sent() - messages, network.bytes_sent() - bytes};
}

} // namespace

TEST_CASE("consensus: traffic grows with members and commands as docs/notes/consensus.md says")
{
    constexpr std::uint64_t heartbeats = 200; // in ten seconds
    for (const int members : {1, 3, 5}) {
        const auto peer_count = static_cast<std::uint64_t>(members - 1);
        const traffic idle = traffic_in_ten_seconds(members, 0);
        CHECK(idle.messages <= 2 * peer_count * (heartbeats + 1));
        CHECK(idle.messages >= 2 * peer_count * (heartbeats - 1));
        const traffic busy = traffic_in_ten_seconds(members, 20);
        CHECK(busy.messages <= 2 * peer_count * (heartbeats + 1 + 200));
        MESSAGE(members << " members: idle " << idle.messages << " messages, " << idle.bytes
                        << " bytes; 20 commands/s " << busy.messages << " messages, " << busy.bytes
                        << " bytes in 10 s");
    }
}
