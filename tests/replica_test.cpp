// Tests of replicas, which combine the journal, the consensus core and the state machine.
#include "replica_cell.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using primrosehead::clock;
using primrosehead::error_kind;
using primrosehead::testing::disk_state;
using primrosehead::testing::replica_cell;
namespace pb = primrosehead::pb;

namespace {

// Issues keys at the leader, one at a time, with time for each to be committed.
void issue_keys(replica_cell& cell, const std::string& leader, int count)
{
    for (int number = 0; number < count; ++number) {
        const std::string id = std::to_string(number);
        cell.issue_key(leader, "key" + id, "request " + id);
        cell.run(clock::duration(10));
    }
}

std::string any_follower(const std::string& leader)
{
    return leader == "c1" ? "c2" : "c1";
}

} // namespace

TEST_CASE("replica: a change with a reply is committed and identical on all instances")
{
    replica_cell cell(3);
    const std::string leader = cell.run_until_leader();
    REQUIRE(!leader.empty());
    const auto reply = cell.issue_key(leader, "key1", "request 1");
    CHECK_FALSE(reply->has_value());
    cell.run(clock::duration(200));
    REQUIRE(reply->has_value());
    CHECK((*reply)->ok());
    CHECK((*reply)->request_id() == "request 1");
    for (const std::string name : {"c1", "c2", "c3"}) {
        CHECK(cell.at(name).state().key("key1") != nullptr);
        CHECK(cell.at(name).state().digest() == cell.at(leader).state().digest());
    }
    CHECK(cell.failure_log().empty());
}

TEST_CASE("replica: a follower replies with the leader's endpoint")
{
    replica_cell cell(3);
    const std::string leader = cell.run_until_leader();
    cell.run(clock::duration(200));
    const auto reply = cell.issue_key(any_follower(leader), "key1", "request 1");
    REQUIRE(reply->has_value());
    CHECK((*reply)->not_leader());
    CHECK((*reply)->error().ran() == "no");
    CHECK((*reply)->leader_hint() == cell.at(leader).leader_endpoint());
    CHECK(!(*reply)->leader_hint().empty());
}

TEST_CASE("replica: restart after hundreds of changes restores the same state")
{
    replica_cell cell(3, 50);
    const std::string leader = cell.run_until_leader();
    issue_keys(cell, leader, 430);
    cell.run(clock::duration(200));
    const std::uint64_t digest = cell.at(leader).state().digest();
    const std::uint64_t version = cell.at(leader).state().version();
    for (const std::string name : {"c1", "c2", "c3"}) {
        cell.stop(name);
        CHECK(cell.folder(name).names().size() < 8);
    }
    for (const std::string name : {"c1", "c2", "c3"}) {
        cell.start(name);
    }
    REQUIRE(!cell.run_until_leader().empty());
    cell.run(clock::duration(500));
    for (const std::string name : {"c1", "c2", "c3"}) {
        CHECK(cell.at(name).state().digest() == digest);
        CHECK(cell.at(name).state().version() == version);
    }
    CHECK(cell.failure_log().empty());
}

TEST_CASE("replica: a leader that loses its quorum reports an unknown outcome")
{
    replica_cell cell(3);
    const std::string leader = cell.run_until_leader();
    cell.run(clock::duration(200));
    cell.isolate(leader);
    const auto reply = cell.issue_key(leader, "key1", "request 1");
    cell.run(clock::duration(400));
    REQUIRE(reply->has_value());
    CHECK_FALSE((*reply)->ok());
    CHECK((*reply)->error().kind() == "no_quorum");
    CHECK((*reply)->error().ran() == "unknown");
    CHECK((*reply)->error().remedy().find("same request id") != std::string::npos);
    CHECK((*reply)->error().retry_after_ms() > 0);
}

TEST_CASE("replica: a resend after a lost reply gets the original reply from the next leader")
{
    replica_cell cell(3);
    const std::string first = cell.run_until_leader();
    const auto reply = cell.issue_key(first, "key1", "request 1");
    cell.run(clock::duration(100));
    REQUIRE((reply->has_value() && (*reply)->ok()));
    const std::uint64_t version = (*reply)->version();
    cell.stop(first);
    cell.run(clock::duration(1'000));
    const std::string second = cell.run_until_leader();
    REQUIRE(!second.empty());
    cell.issue_key(second, "key2", "request 2");
    const auto resent = cell.issue_key(second, "key1", "request 1");
    cell.run(clock::duration(100));
    REQUIRE(resent->has_value());
    CHECK((*resent)->ok());
    CHECK((*resent)->version() == version);
}

TEST_CASE("replica: an overwritten proposal never gets the reply of the entry that replaced it")
{
    replica_cell cell(3);
    const std::string first = cell.run_until_leader();
    cell.run(clock::duration(200));
    cell.isolate(first);
    const auto lost = cell.issue_key(first, "lost", "request 1");
    cell.run(clock::duration(2'000));
    const std::string second = cell.run_until_leader();
    REQUIRE(!second.empty());
    issue_keys(cell, second, 5);
    cell.heal();
    cell.run(clock::duration(1'000));
    REQUIRE(lost->has_value());
    CHECK((*lost)->error().kind() == "no_quorum");
    CHECK(cell.at(first).state().key("lost") == nullptr);
    CHECK(cell.at(first).state().digest() == cell.at(second).state().digest());
}

// Guards against a deployment that never starts: its settings name the initial members at the first
// start only, and an instance may be killed before the cell has formed.
TEST_CASE("replica: a new cell forms although an instance is started again before")
{
    replica_cell cell(3);
    SUBCASE("with its data folder")
    {
        cell.stop("c2");
    }
    SUBCASE("without a data folder")
    {
        cell.lose_disk("c2");
    }
    cell.start("c2");
    const std::string leader = cell.run_until_leader();
    REQUIRE(!leader.empty());
    const auto reply = cell.issue_key(leader, "key-1", "request-1");
    cell.run(clock::duration(200));
    REQUIRE(reply->has_value());
    for (const char* name : {"c1", "c2", "c3"}) {
        CHECK(cell.at(name).members().members_size() == 3);
    }
    CHECK(cell.failure_log().empty());
}

TEST_CASE("replica: an instance whose disk was lost recovers the state and votes")
{
    replica_cell cell(3, 20);
    const std::string leader = cell.run_until_leader();
    issue_keys(cell, leader, 100);
    const std::string lost = any_follower(leader);
    cell.stop(lost);
    cell.lose_disk(lost);
    cell.start(lost);
    cell.run(clock::duration(5'000));
    CHECK(cell.at(lost).role_name() == "follower");
    CHECK(cell.at(lost).state().digest() == cell.at(leader).state().digest());
    cell.stop(leader);
    cell.run(clock::duration(1'000));
    CHECK(!cell.run_until_leader().empty());
    CHECK(cell.failure_log().empty());
}

TEST_CASE("replica: a second membership change is rejected while the first is in progress")
{
    replica_cell cell(3);
    const std::string leader = cell.run_until_leader();
    cell.run(clock::duration(200));
    pb::member member;
    member.set_instance("c4");
    member.set_disk_id("disk-c4");
    member.set_endpoint("tcp://127.0.0.1:4");
    const auto first = cell.add_member(leader, member);
    member.set_instance("c5");
    const auto second = cell.add_member(leader, member);
    REQUIRE(second->has_value());
    CHECK((*second)->error().kind() == "version_conflict");
    cell.run(clock::duration(100));
    REQUIRE(first->has_value());
    CHECK((*first)->ok());
    CHECK(cell.at(leader).members().members_size() == 4);
}

TEST_CASE("replica: a failing disk suspends the instance and the others continue")
{
    replica_cell cell(3);
    const std::string leader = cell.run_until_leader();
    cell.run(clock::duration(200));
    cell.folder(leader).fail_writes_after(0);
    const auto failed = cell.issue_key(leader, "key1", "request 1");
    REQUIRE(failed->has_value());
    CHECK((*failed)->error().kind() == "no_quorum");
    CHECK((*failed)->error().ran() == "unknown");
    REQUIRE(cell.at(leader).outage());
    CHECK(cell.at(leader).outage()->cause.kind == error_kind::storage_failed);
    CHECK_FALSE(cell.at(leader).is_current(cell.now()));
    CHECK(cell.at(leader).leader_endpoint().empty());
    const auto refused = cell.issue_key(leader, "key3", "request 3");
    REQUIRE(refused->has_value());
    CHECK((*refused)->not_leader());
    CHECK((*refused)->error().ran() == "no");
    cell.run(clock::duration(1'000));
    const std::string next = cell.run_until_leader();
    REQUIRE(!next.empty());
    CHECK(next != leader);
    const auto reply = cell.issue_key(next, "key2", "request 2");
    cell.run(clock::duration(100));
    CHECK((reply->has_value() && (*reply)->ok()));
    CHECK(cell.at(leader).state().key("key2") == nullptr);
    cell.folder(leader).fail_writes_after(UINT64_MAX);
    cell.run(clock::duration(1'000));
    CHECK_FALSE(cell.at(leader).outage());
    CHECK(cell.at(leader).state().digest() == cell.at(next).state().digest());
    CHECK(cell.failure_log().empty());
}

namespace {

const std::vector<std::string> three_instances{"c1", "c2", "c3"};

// Proposes a key at every instance that leads, each under an id of its own, and keeps the replies.
class key_proposer {
  public:
    explicit key_proposer(replica_cell& cell) : cell_(cell) {}

    void propose()
    {
        for (const std::string& name : three_instances) {
            if (cell_.is_running(name) && cell_.at(name).is_current(cell_.now())) {
                const std::string id = std::to_string(replies_.size());
                replies_.push_back(cell_.issue_key(name, "key" + id, "request " + id));
            }
        }
    }

    void propose_for(clock::duration time)
    {
        constexpr clock::duration interval{40};
        for (const clock::time_point end = cell_.now() + time; cell_.now() < end;) {
            propose();
            cell_.run(interval);
        }
    }

    [[nodiscard]] int unanswered() const
    {
        return static_cast<int>(std::count_if(replies_.begin(), replies_.end(),
                                              [](const auto& reply) { return !*reply; }));
    }

    [[nodiscard]] int acknowledged() const
    {
        return static_cast<int>(std::count_if(replies_.begin(), replies_.end(),
                                              [](const auto& reply) { return is_ok(reply); }));
    }

    // Acknowledged keys that the state of `name` does not contain.
    [[nodiscard]] int missing_at(const std::string& name) const
    {
        int missing = 0;
        for (std::size_t number = 0; number < replies_.size(); ++number) {
            const std::string id = "key" + std::to_string(number);
            missing += is_ok(replies_[number]) && cell_.at(name).state().key(id) == nullptr ? 1 : 0;
        }
        return missing;
    }

  private:
    static bool is_ok(const replica_cell::reply_slot& reply) { return *reply && (*reply)->ok(); }

    replica_cell& cell_;
    std::vector<replica_cell::reply_slot> replies_;
};

disk_state random_failure(std::mt19937_64& random)
{
    return random() % 2 == 0 ? disk_state::full : disk_state::sync_fails;
}

} // namespace

TEST_CASE("replica: disks that are full one after another leave a cell that accepts changes")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        replica_cell cell(3, 20 + random() % 40, seed);
        key_proposer proposer(cell);
        REQUIRE(!cell.run_until_leader().empty());
        for (std::size_t round = 0; round < 9; ++round) {
            const bool is_leaders_disk = round % 2 == 0;
            const std::string name =
                is_leaders_disk ? cell.run_until_leader() : three_instances[round / 2 % 3];
            REQUIRE(!name.empty());
            cell.folder(name).set_state(random_failure(random));
            proposer.propose(); // before another instance leads
            proposer.propose_for(clock::duration(200 + random() % 4'000));
            CHECK_FALSE((cell.is_running(name) && cell.at(name).is_current(cell.now())));
            cell.folder(name).set_state(disk_state::writable);
            proposer.propose_for(clock::duration(1'000 + random() % 1'000));
        }
        const std::string leader = cell.run_until_leader();
        REQUIRE(!leader.empty());
        const int acknowledged = proposer.acknowledged();
        proposer.propose();
        cell.run(clock::duration(500));
        CHECK(proposer.acknowledged() == acknowledged + 1);
        CHECK(proposer.unanswered() == 0);
        for (const std::string& name : three_instances) {
            REQUIRE(cell.is_running(name));
            CHECK(proposer.missing_at(name) == 0);
            CHECK(cell.at(name).state().digest() == cell.at(leader).state().digest());
        }
        for (const std::string& name : three_instances) {
            cell.stop(name);
        }
        for (const std::string& name : three_instances) {
            cell.start(name);
        }
        REQUIRE(!cell.run_until_leader().empty());
        cell.run(clock::duration(500));
        for (const std::string& name : three_instances) {
            REQUIRE(cell.is_running(name));
            CHECK(proposer.missing_at(name) == 0);
        }
        CHECK(cell.failure_log().empty());
    }
}

TEST_CASE("replica: a power loss while a disk is full loses no acknowledged change")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        replica_cell cell(3, 20 + random() % 40, seed);
        key_proposer proposer(cell);
        for (int round = 0; round < 6; ++round) {
            const std::string name =
                round % 2 == 0 ? cell.run_until_leader() : three_instances[random() % 3];
            REQUIRE(!name.empty());
            cell.folder(name).set_state(random_failure(random));
            proposer.propose_for(clock::duration(random() % 1'500));
            cell.stop(name);
            cell.folder(name).set_state(disk_state::writable);
            cell.start(name);
            proposer.propose_for(clock::duration(2'000));
        }
        REQUIRE(!cell.run_until_leader().empty());
        cell.run(clock::duration(500));
        CHECK(proposer.acknowledged() > 0);
        CHECK(proposer.unanswered() == 0);
        for (const std::string& name : three_instances) {
            REQUIRE(cell.is_running(name));
            CHECK(proposer.missing_at(name) == 0);
        }
        CHECK(cell.failure_log().empty());
    }
}

TEST_CASE("replica: a follower whose disk is full acknowledges nothing until it has room")
{
    for (const disk_state failing : {disk_state::full, disk_state::sync_fails}) {
        replica_cell cell(3);
        const std::string leader = cell.run_until_leader();
        cell.run(clock::duration(200));
        const std::string follower = any_follower(leader);
        for (const std::string& name : three_instances) {
            if (name != leader && name != follower) {
                cell.isolate(name);
            }
        }
        cell.folder(follower).set_state(failing);
        const auto reply = cell.issue_key(leader, "key1", "request 1");
        cell.run(clock::duration(2'000));
        CHECK_FALSE((reply->has_value() && (*reply)->ok()));
        CHECK(cell.at(leader).state().key("key1") == nullptr);
        CHECK(cell.at(follower).outage());
        CHECK(!cell.at(follower).leader_endpoint().empty());
        cell.folder(follower).set_state(disk_state::writable);
        cell.run(clock::duration(2'000));
        const std::string next = cell.run_until_leader();
        REQUIRE(!next.empty());
        const auto repeated = cell.issue_key(next, "key1", "request 1");
        cell.run(clock::duration(200));
        CHECK((repeated->has_value() && (*repeated)->ok()));
        CHECK(cell.failure_log().empty());
    }
}

TEST_CASE("replica: an instance whose disk is full gives no vote until it has room")
{
    for (const disk_state failing : {disk_state::full, disk_state::sync_fails}) {
        replica_cell cell(3);
        const std::string leader = cell.run_until_leader();
        cell.run(clock::duration(200));
        cell.stop(leader);
        cell.folder(any_follower(leader)).set_state(failing);
        CHECK(cell.run_until_leader().empty());
        cell.folder(any_follower(leader)).set_state(disk_state::writable);
        const std::string next = cell.run_until_leader();
        REQUIRE(!next.empty());
        const auto reply = cell.issue_key(next, "key1", "request 1");
        cell.run(clock::duration(200));
        CHECK((reply->has_value() && (*reply)->ok()));
        CHECK(cell.failure_log().empty());
    }
}

TEST_CASE("replica: a change that can't be read back is rejected, and the instances restart")
{
    replica_cell cell(3, 5);
    const std::string leader = cell.run_until_leader();
    REQUIRE(!leader.empty());
    pb::command odd;
    odd.mutable_note()->set_database("kura");
    odd.mutable_note()->add_members()->set_server("odd-\xff");
    std::optional<pb::operator_reply> reply;
    REQUIRE(primrosehead::ok(cell.at(leader).propose(
        odd, cell.now(), [&](const pb::operator_reply& told) { reply = told; })));
    cell.run(clock::duration(200));
    REQUIRE(reply.has_value());
    CHECK(!reply->ok());
    CHECK(reply->error().kind() == "bad_request");
    CHECK(reply->error().ran() == "no");
    issue_keys(cell, leader, 20); // writes a snapshot
    cell.run(clock::duration(200));
    for (const std::string name : {"c1", "c2", "c3"}) {
        cell.stop(name);
        cell.start(name);
        CHECK(cell.is_running(name));
    }
    CHECK(cell.failure_log().empty());
    REQUIRE(!cell.run_until_leader().empty());
    cell.run(clock::duration(200));
    CHECK(cell.at("c1").state().key("key19") != nullptr);
}
