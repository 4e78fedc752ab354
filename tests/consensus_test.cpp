// Scripted failures of the consensus core, with journals on fake disks.
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

TEST_CASE("consensus: three instances elect one leader and commit on all of them")
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

TEST_CASE("consensus: a leader crash elects another leader and loses no committed entry")
{
    consensus_network network({});
    const std::string first_leader = network.run_until_leader();
    propose_many(network, 10, "before ");
    network.run(clock::duration(100));
    network.crash(first_leader);
    network.run(clock::duration(50));
    const std::string second_leader = network.run_until_leader();
    REQUIRE(!second_leader.empty());
    CHECK(second_leader != first_leader);
    propose_many(network, 10, "after ");
    network.restart(first_leader);
    network.run(clock::duration(1'000));
    CHECK(network.command_committed("before 9"));
    CHECK(network.command_committed("after 9"));
    CHECK(network.at(first_leader).applied_index() == network.committed_index());
    CHECK(network.violations().empty());
}

TEST_CASE(
    "consensus: a member that never replied to a new leader counts as silent since its election")
{
    consensus_network network({.seed = 5, .members = 5});
    const std::string first_leader = network.run_until_leader();
    network.crash(first_leader); // permanent, as after the replacement of the machine
    const std::string second_leader = network.run_until_leader();
    REQUIRE(!second_leader.empty());
    constexpr clock::duration outage{3'000};
    network.run(outage);
    REQUIRE(network.current_leader() == second_leader);
    bool is_listed = false;
    const auto& leader = network.at(second_leader);
    const clock::time_point leader_now = network.now() + leader.options().clock_offset;
    for (const auto& each : leader.core().member_progress(leader_now)) {
        CHECK((each.time_since_contact >= outage) == (each.instance == first_leader));
        is_listed = is_listed || each.instance == first_leader;
    }
    CHECK(is_listed);
}

TEST_CASE(
    "consensus: after a power loss of all, a leader is elected soon after the old lease expires")
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
            network.restart(name); // all within 0.3 s
            network.run(clock::duration(60));
        }
        const clock::time_point started_at = network.now();
        REQUIRE(!network.run_until_leader().empty());
        total += network.now() - started_at;
        CHECK(network.violations().empty());
    }
    // An instance does not vote within `election_min` of its start. For a majority this delay ends
    // 0.12 s before it ends for the last instance.
    const consensus::core_settings default_settings;
    CHECK(total / seeds <= default_settings.election_min + default_settings.heartbeat * 2);
}

TEST_CASE("consensus: an isolated leader steps down and is not current")
{
    consensus_network network({});
    const std::string first_leader = network.run_until_leader();
    network.isolate(first_leader);
    network.run(clock::duration(320));
    CHECK(network.at(first_leader).core().role() != consensus::role::leader);
    CHECK_FALSE(network.at(first_leader)
                    .core()
                    .is_current(network.now() + network.at(first_leader).options().clock_offset));
    const std::string second_leader = network.run_until_leader();
    CHECK(!second_leader.empty());
    CHECK(second_leader != first_leader);
    CHECK(network.violations().empty());
}

// Guards against what a leader tells after it was cut off, which is taken for as new as its reply.
TEST_CASE("consensus: a leader that is cut off knows how long ago a majority answered it")
{
    consensus_network network({});
    const std::string leader = network.run_until_leader();
    const auto contact_age = [&] {
        const auto& node = network.at(leader);
        return node.core().contact_age(network.now() + node.options().clock_offset);
    };
    const consensus::core_settings default_settings;
    network.run(clock::duration(500));
    const clock::duration in_contact = contact_age();
    CHECK(in_contact <= default_settings.heartbeat * 2);
    network.isolate(leader);
    const clock::duration cut_off{200};
    network.run(cut_off);
    CHECK(contact_age() >= cut_off);
    CHECK(contact_age() <= cut_off + default_settings.heartbeat * 2);
}

TEST_CASE("consensus: an instance isolated for a long time does not disrupt the cell on return")
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

TEST_CASE("consensus: a single cut link to the leader does not depose it")
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

TEST_CASE("consensus: a new cell registers the disks that voted in its first election")
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

// Guards against a new cell that never forms, because an instance that was restarted before no
// longer knows that it is an initial member.
TEST_CASE("consensus: a new cell forms although an initial member restarts before")
{
    network_options options;
    options.disks_registered = false;
    options.knows_members_once = true;
    consensus_network network(options);
    SUBCASE("with its disk, before the first election")
    {
        network.step();
        network.crash("c3");
        network.restart("c3");
    }
    SUBCASE("without its disk, before the first election")
    {
        network.step();
        network.lose_disk("c3");
        network.restart("c3");
    }
    SUBCASE("without its disk, after it has voted")
    {
        while (network.at("c1").core().last_index() == 0 &&
               network.at("c2").core().last_index() == 0) {
            network.step();
            REQUIRE(network.now() < clock::time_point(clock::duration(1'010'000)));
        }
        network.lose_disk("c3");
        network.restart("c3");
    }
    SUBCASE("all of them, with their disks")
    {
        network.step();
        for (const std::string& name : network.names()) {
            network.crash(name);
        }
        for (const std::string& name : network.names()) {
            network.restart(name);
        }
    }
    REQUIRE(!network.run_until_leader().empty());
    REQUIRE(network.propose("first"));
    network.run(clock::duration(6'000)); // a member that lost its disk is replaced after 2 s
    CHECK(network.command_committed("first"));
    for (const std::string& name : network.names()) {
        CHECK(network.at(name).core().members().members_size() == 3);
    }
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a formed cell gives a lost disk no vote, whatever a late vote request offers")
{
    network_options options;
    options.disks_registered = false;
    options.knows_members_once = true;
    consensus_network network(options);
    pb::consensus_message offer;
    offer.set_from("c1");
    offer.set_to("c3");
    offer.set_disk_id("disk-c1");
    offer.set_term(1);
    *offer.mutable_vote()->mutable_initial_members() = network.at("c1").options().initial_members;
    REQUIRE(!network.run_until_leader().empty());
    REQUIRE(network.propose("first"));
    network.run(clock::duration(1'000));
    network.lose_disk("c3");
    network.crash("c1");
    network.restart("c3");
    network.at("c3").receive(offer, network.now());
    network.run(clock::duration(5'000));
    CHECK(network.current_leader().empty()); // c2 alone has the first entry
    network.restart("c1");
    CHECK(!network.run_until_leader().empty());
    network.run(clock::duration(5'000));
    CHECK(network.command_committed("first"));
    CHECK(network.violations().empty());
}

// Restarts and lost disks of one initial member at a time, at random moments of the formation.
TEST_CASE("consensus: a new cell forms consistently under restarts at any moment")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        network_options options;
        options.seed = seed;
        options.disks_registered = false;
        options.knows_members_once = true;
        options.loss_per_mille = seed % 3 == 0 ? 100 : 0;
        consensus_network network(options);
        for (std::uint64_t restarts = network.random_below(4); restarts > 0; --restarts) {
            network.run(clock::duration(static_cast<clock::rep>(network.random_below(700))));
            const std::string name = "c" + std::to_string(1 + network.random_below(3));
            if (network.random_below(2) == 0) {
                network.lose_disk(name);
            }
            else {
                network.crash(name);
            }
            network.run(clock::duration(static_cast<clock::rep>(network.random_below(500))));
            network.restart(name);
            // A member that replaces a lost disk has to have caught up before the next loss.
            network.run(clock::duration(6'000));
        }
        CHECK(!network.run_until_leader().empty());
        CHECK(network.propose("first"));
        network.run(clock::duration(1'000));
        CHECK(network.command_committed("first"));
        CHECK(network.violations().empty());
    }
}

TEST_CASE("consensus: a replaced disk joins as a learner, then votes, so another instance may fail")
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

TEST_CASE("consensus: no leader is elected after two of three disks are lost")
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

TEST_CASE("consensus: a new member becomes a voter once it has all committed entries")
{
    network_options options;
    options.snapshot_after = 10;
    consensus_network network(options);
    REQUIRE(!network.run_until_leader().empty());
    propose_many(network, 100, "write ");
    const std::string disk = network.start_nonmember("c4");
    REQUIRE(ok(network.add_member(make_member("c4", disk))));
    const auto second_addition = network.add_member(make_member("c5", "disk-c5"));
    REQUIRE(!ok(second_addition));
    CHECK(failure(second_addition).kind == error_kind::version_conflict);
    network.run(clock::duration(2'000));
    CHECK(is_voter(network, "c4"));
    CHECK(network.at("c4").applied_index() == network.committed_index());
    CHECK(network.violations().empty());
}

// Guards against an instance that was removed while it was a learner, and never asks to join again.
TEST_CASE("consensus: a learner forgets a leader that no longer replicates to it")
{
    consensus_network network({});
    const std::string leader = network.run_until_leader();
    REQUIRE(!leader.empty());
    network.start_nonmember("c4");
    pb::consensus_message heartbeat;
    heartbeat.set_from(leader);
    heartbeat.set_to("c4");
    heartbeat.set_disk_id("disk-" + leader);
    heartbeat.set_term(network.highest_term());
    heartbeat.mutable_append();
    network.at("c4").receive(heartbeat, network.now());
    CHECK(network.at("c4").core().leader() == leader);
    network.run(clock::duration(2'000));
    CHECK(network.at("c4").core().leader().empty());
    CHECK(network.current_leader() == leader);
}

TEST_CASE("consensus: a removed leader is replaced and does not lead again")
{
    consensus_network network({});
    const std::string first_leader = network.run_until_leader();
    REQUIRE(ok(network.remove_member(first_leader)));
    network.run(clock::duration(200));
    const std::string second_leader = network.run_until_leader();
    REQUIRE(!second_leader.empty());
    CHECK(second_leader != first_leader);
    network.run(clock::duration(3'000));
    CHECK(network.at(first_leader).core().role() == consensus::role::learner);
    CHECK(network.at(second_leader).core().members().members_size() == 2);
    CHECK(network.current_leader() == second_leader);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a removal that would leave no responsive majority is rejected")
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

TEST_CASE("consensus: a paused leader is not current when it resumes")
{
    consensus_network network({});
    const std::string first_leader = network.run_until_leader();
    network.pause(first_leader);
    network.run(clock::duration(3'000));
    const std::string second_leader = network.current_leader();
    REQUIRE(!second_leader.empty());
    network.resume(first_leader);
    network.run(clock::duration(1'000));
    CHECK(network.current_leader() == second_leader);
    CHECK(network.violations().empty());
}

TEST_CASE("consensus: a lagging follower catches up with a chunked snapshot")
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

TEST_CASE("consensus: a restart of all instances after hundreds of changes keeps every entry")
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

TEST_CASE("consensus: invalid settings are rejected")
{
    consensus::core_settings settings;
    settings.instance = primrosehead::instance_name("c1");
    settings.disk_id = "disk";
    settings.heartbeat = clock::duration(200);
    const auto created = consensus::core::create(settings, {}, clock::time_point{});
    REQUIRE(!ok(created));
    CHECK(failure(created).kind == error_kind::bad_settings);
}

TEST_CASE("consensus: a log that contradicts the hard state or has a gap is rejected")
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
    const auto newer_term_result = consensus::core::create(settings, stored, clock::time_point{});
    REQUIRE(!ok(newer_term_result));
    CHECK(failure(newer_term_result).kind == error_kind::corrupt_storage);
    stored.hard_state.set_term(2);
    stored.entries.front().set_index(2);
    const auto gap_result = consensus::core::create(settings, stored, clock::time_point{});
    REQUIRE(!ok(gap_result));
    CHECK(failure(gap_result).kind == error_kind::corrupt_storage);
}

namespace {

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

// Returns the messages and bytes sent between all instances in ten seconds without faults.
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

TEST_CASE("consensus: traffic grows with members and commands as docs/notes/consensus.md states")
{
    constexpr std::uint64_t heartbeats = 200; // per peer in ten seconds
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
