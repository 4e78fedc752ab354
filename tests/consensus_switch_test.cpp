// Each safety mechanism turned off in turn: the same script must break its promise then, and only
// then.
#include "consensus_network.h"
#include "consensus_schedule.h"

#include <doctest/doctest.h>

#include <string>

using primrosehead::clock;
using primrosehead::ok;
using primrosehead::value;
using primrosehead::consensus::unsafe_switches;
using primrosehead::testing::consensus_network;
using primrosehead::testing::network_options;
using primrosehead::testing::run_schedule;
using primrosehead::testing::schedule_options;
namespace consensus = primrosehead::consensus;
namespace pb = primrosehead::pb;

namespace {

constexpr std::uint64_t seeds_per_switch = 40;

network_options options_with(const unsafe_switches& unsafe)
{
    network_options options;
    options.unsafe = unsafe;
    options.disk_replacement_timeout = clock::duration(0);
    return options;
}

// The two instances that don't lead.
std::pair<std::string, std::string> followers(consensus_network& network)
{
    const std::string leader = network.current_leader();
    std::vector<std::string> names = network.names();
    std::erase(names, leader);
    return {names.at(0), names.at(1)};
}

std::uint64_t term_increase_while_isolated(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    network.run_until_leader();
    const std::uint64_t before = network.highest_term();
    network.isolate(followers(network).first);
    network.run(clock::duration(10'000));
    return network.highest_term() - before;
}

bool leads_while_isolated(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    const std::string leader = network.run_until_leader();
    network.isolate(leader);
    network.run(clock::duration(400));
    return network.at(leader).core().role() == consensus::role::leader;
}

std::size_t violations_after_leader_isolation(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    network.isolate(network.run_until_leader());
    network.run(clock::duration(3'000));
    return network.violations().size();
}

std::size_t violations_after_link_cut(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    const std::string leader = network.run_until_leader();
    network.cut_link(leader, followers(network).first);
    network.run(clock::duration(5'000));
    return network.violations().size();
}

// The leader does not reach one follower; the other one, which it does reach, restarts often.
std::size_t violations_while_voter_restarts(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    const std::string leader = network.run_until_leader();
    const auto [unreachable, voter] = followers(network);
    network.cut_link(leader, unreachable);
    for (int count = 0; count < 200; ++count) {
        network.run(clock::duration(20));
        network.crash(voter);
        network.restart(voter);
    }
    return network.violations().size();
}

// A committed entry is held by the leader and one follower; the follower's disk is lost, and the
// leader is cut off.
std::size_t violations_after_vote_of_lost_disk(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    const std::string leader = network.run_until_leader();
    network.run(clock::duration(200));
    const auto [up_to_date, lagging] = followers(network);
    network.isolate(lagging);
    network.propose("write");
    network.run(clock::duration(100));
    REQUIRE(network.command_committed("write"));
    network.heal_links();
    network.isolate(leader);
    network.lose_disk(up_to_date);
    network.restart(up_to_date);
    network.run(clock::duration(5'000));
    network.propose("other write");
    network.run(clock::duration(500));
    return network.violations().size();
}

// A member is added that can't be reached; then one of the old members is lost.
bool commits_after_adding_unreachable_member(const unsafe_switches& unsafe)
{
    consensus_network network(options_with(unsafe));
    network.run_until_leader();
    network.run(clock::duration(200));
    pb::member member;
    member.set_instance("c4");
    member.set_disk_id(network.start_nonmember("c4"));
    network.isolate("c4");
    static_cast<void>(network.add_member(member));
    network.run(clock::duration(200));
    network.crash(followers(network).first);
    network.propose("write");
    network.run(clock::duration(250));
    return network.command_committed("write");
}

std::size_t violations_in_random_schedules(const schedule_options& base_options)
{
    std::size_t violation_count = 0;
    for (std::uint64_t seed = 1; seed <= seeds_per_switch; ++seed) {
        schedule_options options = base_options;
        options.seed = seed;
        violation_count += run_schedule(options).violations.size();
    }
    return violation_count;
}

} // namespace

TEST_CASE("consensus switch: without pre-vote an instance that is cut off raises the term")
{
    CHECK(term_increase_while_isolated({}) == 0);
    CHECK(term_increase_while_isolated({.no_pre_vote = true}) > 0);
}

TEST_CASE("consensus switch: without check-quorum a leader that is cut off goes on leading")
{
    CHECK_FALSE(leads_while_isolated({}));
    CHECK(leads_while_isolated({.no_check_quorum = true}));
}

TEST_CASE("consensus switch: without the leader's lease two instances are current")
{
    CHECK(violations_after_leader_isolation({}) == 0);
    CHECK(violations_after_leader_isolation({.no_check_quorum = true}) == 0);
    CHECK(violations_after_leader_isolation({.no_check_quorum = true, .no_leader_lease = true}) >
          0);
}

TEST_CASE("consensus switch: votes against a live leader make two instances current")
{
    CHECK(violations_after_link_cut({}) == 0);
    CHECK(violations_after_link_cut({.no_leader_stickiness = true}) > 0);
}

TEST_CASE("consensus switch: a vote right after a restart makes two instances current")
{
    CHECK(violations_while_voter_restarts({}) == 0);
    CHECK(violations_while_voter_restarts({.no_startup_vote_delay = true}) > 0);
}

TEST_CASE("consensus switch: the vote of a lost disk loses a committed entry")
{
    CHECK(violations_after_vote_of_lost_disk({}) == 0);
    CHECK(violations_after_vote_of_lost_disk({.no_disk_check = true}) > 0);
}

TEST_CASE("consensus switch: a member that votes before it holds anything stops the cell")
{
    CHECK(commits_after_adding_unreachable_member({}));
    CHECK_FALSE(commits_after_adding_unreachable_member({.no_learner_stage = true}));
}

TEST_CASE("consensus switch: without syncing, crashes lose committed entries")
{
    schedule_options options;
    CHECK(violations_in_random_schedules(options) == 0);
    options.journal.unsafe_skip_sync = true;
    CHECK(violations_in_random_schedules(options) > 0);
}

TEST_CASE("consensus switch: a disk that only claims to sync loses committed entries")
{
    schedule_options options;
    options.disk.ignore_sync = true;
    CHECK(violations_in_random_schedules(options) > 0);
}

namespace {

pb::consensus_message message_from(const std::string& name, std::uint64_t term)
{
    pb::consensus_message message;
    message.set_from(name);
    message.set_to("c1");
    message.set_disk_id("disk-" + name);
    message.set_term(term);
    return message;
}

// c1 leads term 4 and holds an entry of term 2 that c2 holds too, as in figure 8 of the Raft paper.
// Returns c1's commit index after c2's answer for that entry alone.
std::uint64_t commit_index_after_older_term_reply(const unsafe_switches& unsafe)
{
    consensus::core_settings settings;
    settings.instance = primrosehead::instance_name("c1");
    settings.disk_id = "disk-c1";
    settings.unsafe = unsafe;
    consensus::persisted_state stored;
    stored.hard_state.set_term(3);
    pb::log_entry older_entry;
    older_entry.set_term(2);
    older_entry.set_index(1);
    older_entry.set_no_operation(true);
    stored.entries.push_back(older_entry);
    for (const std::string name : {"c1", "c2", "c3"}) {
        pb::member* member = stored.initial_members.add_members();
        member->set_instance(name);
        member->set_disk_id("disk-" + name);
        member->set_voter(true);
    }
    clock::time_point now{};
    auto created = consensus::core::create(settings, stored, now);
    REQUIRE(ok(created));
    consensus::core& core = value(created);
    now += settings.election_max;
    static_cast<void>(core.tick(now));
    pb::consensus_message vote = message_from("c2", 4);
    vote.mutable_vote_answer()->set_granted(true);
    vote.mutable_vote_answer()->set_pre_vote(true);
    static_cast<void>(core.receive(vote, now));
    vote.mutable_vote_answer()->set_pre_vote(false);
    static_cast<void>(core.receive(vote, now));
    static_cast<void>(core.on_synced(now));
    REQUIRE(core.role() == consensus::role::leader);
    pb::consensus_message answer = message_from("c2", 4);
    answer.mutable_append_answer()->set_accepted(true);
    answer.mutable_append_answer()->set_match_index(1);
    static_cast<void>(core.receive(answer, now));
    return core.commit_index();
}

} // namespace

TEST_CASE("consensus switch: copies of an entry of an older term do not commit it")
{
    CHECK(commit_index_after_older_term_reply({}) == 0);
    CHECK(commit_index_after_older_term_reply({.commit_older_terms = true}) == 1);
}
