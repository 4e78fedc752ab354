#include "commit_fence.h"
#include "commit_fence_holders.h"
#include "commit_gate.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

const std::vector<std::string> known{"p", "c", "d"};

fence_map fence_for(const std::string& candidate, std::uint64_t serial = 1)
{
    return {{"g", {{1, serial}, {candidate}}}};
}

acknowledged_commit commit_at(std::uint64_t index, const commit_gate& gate)
{
    return {"g", "p", log_position{1, index}, gate.mark("g"), at(0), at(5)};
}

commit_verdict decide(const commit_gate& gate, const acknowledged_commit& commit,
                      clock::time_point now)
{
    return gate.decide(commit, known, now).verdict;
}

// Knows at 0 that no fence is in force and that p is the primary.
commit_gate open_gate()
{
    commit_gate gate;
    gate.record({}, {{"g", "p"}}, at(0), at(0), at(0));
    return gate;
}

} // namespace

TEST_CASE("commit gate: commits are confirmed at once while no fence is in force")
{
    const commit_gate gate = open_gate();
    CHECK(decide(gate, commit_at(5, gate), at(200)) == commit_verdict::confirmed);
}

// Guards against a commit that the server to be promoted does not have.
TEST_CASE("commit gate: a commit sent before a fence needs every candidate")
{
    commit_gate gate = open_gate();
    const acknowledged_commit commit = commit_at(5, gate);
    gate.add({{"g", {{1, 1}, {"c", "d"}}}}, at(100));
    CHECK(decide(gate, commit, at(110)) == commit_verdict::unproved);
    gate.record_position("g", "c", {1, 5}, false);
    CHECK(decide(gate, commit, at(110)) == commit_verdict::unproved);
    gate.record_position("g", "d", {1, 4}, false);
    CHECK(gate.decide(commit, known, at(110)).servers == std::vector<std::string>{"d"});
    gate.record_position("g", "d", {1, 6}, false);
    CHECK(decide(gate, commit, at(110)) == commit_verdict::confirmed);
}

TEST_CASE("commit gate: a candidate that leads without the commit makes it unknown")
{
    commit_gate gate = open_gate();
    gate.add(fence_for("c"), at(100));
    const acknowledged_commit commit = commit_at(5, gate);
    SUBCASE("before its first own commit")
    {
        gate.record_position("g", "c", {1, 4}, true);
    }
    // Its position no longer tells where the earlier term ended.
    SUBCASE("after its first own commit")
    {
        gate.record_position("g", "c", {2, 9}, true);
    }
    CHECK(decide(gate, commit, at(110)) == commit_verdict::unknown);
}

TEST_CASE("commit gate: the promoted server's commits need no proof")
{
    commit_gate gate = open_gate();
    gate.add(fence_for("c"), at(100));
    const acknowledged_commit commit{"g", "c", log_position{2, 6}, gate.mark("g"), at(0), at(5)};
    CHECK(decide(gate, commit, at(110)) == commit_verdict::confirmed);
}

// Guards against a commit that is answered after the promotion without it has ended.
TEST_CASE("commit gate: after a fence was lifted, earlier commits need the present primary")
{
    commit_gate gate = open_gate();
    gate.add(fence_for("c"), at(100));
    const acknowledged_commit commit = commit_at(5, gate);
    gate.record({}, {{"g", "c"}}, at(600), at(600), at(610));
    CHECK(gate.decide(commit, known, at(620)).servers == std::vector<std::string>{"c"});
    gate.record_position("g", "c", {1, 4}, true);
    CHECK(decide(gate, commit, at(620)) == commit_verdict::unknown);
    gate.record_position("g", "c", {1, 5}, true);
    CHECK(decide(gate, commit, at(620)) == commit_verdict::confirmed);
}

// Guards against late replies of a relay that did not know of the fence.
TEST_CASE("commit gate: knowledge from before a fence does not lift it")
{
    commit_gate gate = open_gate();
    gate.add(fence_for("c"), at(100));
    gate.record({}, {{"g", "p"}}, at(90), at(90), at(120));
    CHECK(gate.is_fenced("g"));
    CHECK(gate.reports().at("g").id == fence_id{1, 1});
    gate.record({}, {{"g", "p"}}, at(130), at(130), at(140));
    CHECK(!gate.is_fenced("g"));
}

// Guards against an instance that was frozen or cut off while a promotion took effect.
TEST_CASE("commit gate: nothing is confirmed without a lease")
{
    commit_gate gate = open_gate();
    const acknowledged_commit commit = commit_at(5, gate);
    CHECK(decide(gate, commit, at(commit_lease.count())) == commit_verdict::undecided);
    gate.record({}, {{"g", "c"}}, at(3'000), at(3'000), at(3'000));
    CHECK(gate.decide(commit, known, at(3'010)).servers == std::vector<std::string>{"c"});
    const acknowledged_commit later{"g", "c", log_position{2, 6}, gate.mark("g"), at(0), at(5)};
    CHECK(decide(gate, later, at(3'010)) == commit_verdict::confirmed);
}

// Guards against commits that only a replica has of which a partition keeps control from hearing.
TEST_CASE("commit gate: an instance that has not heard from control needs a known replica")
{
    commit_gate gate = open_gate();
    const acknowledged_commit commit = commit_at(5, gate);
    const commit_decision doubtful = gate.decide(commit, known, at(800));
    CHECK(doubtful.verdict == commit_verdict::unproved);
    CHECK(doubtful.servers == std::vector<std::string>{"c", "d"});
    gate.record_position("g", "new", {1, 5}, false);
    CHECK(decide(gate, commit, at(800)) == commit_verdict::unproved);
    gate.record_position("g", "d", {1, 5}, false);
    CHECK(decide(gate, commit, at(800)) == commit_verdict::confirmed);
}

TEST_CASE("commit gate: what a relay knows is as doubtful as its age")
{
    commit_gate gate = open_gate();
    gate.record({}, {{"g", "p"}}, at(750), at(1'000), at(1'010));
    CHECK(decide(gate, commit_at(5, gate), at(1'250)) == commit_verdict::confirmed);
    gate.record({}, {{"g", "p"}}, at(760), at(1'100), at(1'110));
    CHECK(decide(gate, commit_at(5, gate), at(1'120)) == commit_verdict::unproved);
}

// Guards against a replica that starts beside a primary which is cut off from the others: it
// receives the commits that waited, and control does not know it.
TEST_CASE("commit gate: commits that waited at the server need an established replica")
{
    commit_gate gate = open_gate();
    acknowledged_commit stalled = commit_at(5, gate);
    stalled.acknowledged_at = at(400);
    gate.record_acknowledged(stalled);
    const acknowledged_commit later = commit_at(6, gate);
    for (const acknowledged_commit& each : {stalled, later}) {
        CHECK(gate.decide(each, known, at(410)).servers == std::vector<std::string>{"c", "d"});
        CHECK(decide(gate, each, at(410)) == commit_verdict::unproved);
    }
    gate.record_position("g", "c", {1, 6}, false);
    CHECK(decide(gate, later, at(420)) == commit_verdict::confirmed);
    gate.record_confirmed(later);
    gate.record({}, {{"g", "p"}}, at(400), at(400), at(410));
    CHECK(decide(gate, commit_at(7, gate), at(420)) == commit_verdict::confirmed);
}

TEST_CASE("commit gate: the newest position that was confirmed is reported with the fence")
{
    commit_gate gate = open_gate();
    gate.record_confirmed(commit_at(7, gate));
    gate.record_confirmed(commit_at(6, gate));
    CHECK(gate.reports().empty());
    gate.add(fence_for("c", 3), at(100));
    pb::follow_request request;
    add_reports(gate.reports(), request);
    const fence_reports received = reports_of(request);
    CHECK(received.at("g").id == fence_id{1, 3});
    CHECK(received.at("g").confirmed == log_position{1, 7});
}

TEST_CASE("commit fence: every holder of a lease has to apply it")
{
    fence_holders holders(at(0));
    const fence_id id{1, 4};
    CHECK(holders.is_applied("g", id, at(10))); // nobody can confirm a commit
    holders.record({"e1", 1}, {}, at(1'000));
    holders.record({"e2", 1}, {{"g", {id, {1, 7}}}}, at(1'200));
    CHECK(!holders.is_applied("g", id, at(20)));
    CHECK(holders.take_unannounced({{"g", {id, {"c"}}}}, at(20)) == std::vector<std::string>{"e1"});
    CHECK(holders.take_unannounced({{"g", {id, {"c"}}}}, at(30)).empty());
    SUBCASE("it does")
    {
        holders.record({"e1", 1}, {{"g", {id, {1, 9}}}}, at(1'100));
        CHECK(holders.is_applied("g", id, at(40)));
        CHECK(holders.confirmed("g") == log_position{1, 9});
    }
    SUBCASE("its lease ends")
    {
        CHECK(!holders.is_applied("g", id, at(999)));
        CHECK(holders.is_applied("g", id, at(1'000)));
    }
    SUBCASE("an earlier fence does not count")
    {
        holders.record({"e1", 1}, {{"g", {{1, 3}, {}}}}, at(1'100));
        CHECK(!holders.is_applied("g", id, at(40)));
    }
    // The followers of a relay go on confirming commits while it starts again.
    SUBCASE("its process starts again")
    {
        holders.record({"e1", 2}, {{"g", {id, {}}}}, at(1'300));
        CHECK(holders.is_applied("g", id, at(40)));
        holders.record({"relay", 1, true}, {}, at(1'000));
        holders.record({"relay", 2, true}, {{"g", {id, {}}}}, at(1'300));
        CHECK(!holders.is_applied("g", id, at(40)));
        CHECK(holders.is_applied("g", id, at(1'000)));
    }
}

// Guards against instances that an earlier control leader served and the present one has not heard
// of yet.
TEST_CASE("commit fence: leases that others granted are waited for")
{
    const fence_holders holders(at(1'500));
    CHECK(!holders.is_applied("g", {1, 1}, at(1'499)));
    CHECK(holders.is_applied("g", {1, 1}, at(1'500)));
}

// Guards against a confirmed commit that no fence covers, since its position is not known.
TEST_CASE("commit gate: a commit without a position is never confirmed")
{
    const commit_gate gate = open_gate();
    acknowledged_commit commit = commit_at(5, gate);
    commit.position.reset();
    CHECK(decide(gate, commit, at(200)) == commit_verdict::unknown);
}
