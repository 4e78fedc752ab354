#include "state_commands_maker.h"

#include <primrosehead/config.h>
#include <primrosehead/state.h>
#include <primrosehead/state_view.h>

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::test;

namespace {

constexpr unsigned seeds = 60;
constexpr int steps = 300;
const cell_name cell("kyushu");

// One machine, one view and the deltas on their way, which get lost, repeated and reordered.
class followed_machine {
  public:
    followed_machine(unsigned seed, bool check_digest)
        : random_(seed), machine_(cell), view_(cell, check_digest)
    {
        digests_[0] = 0;
    }

    void step()
    {
        switch (random_() % 4) {
        case 0:
        case 1:
            change();
            break;
        case 2:
            ask();
            break;
        default:
            deliver();
            break;
        }
    }

    // Delivers what the view asks for, in order and without loss.
    void settle()
    {
        for (int round = 0; round < 3; ++round) {
            check_apply(machine_.delta_since(view_.requested_version()));
        }
    }

    // Damages one delta on its way.
    void damage_one()
    {
        machine_.apply(make_register("damaged", std::to_string(machine_.version())));
        digests_[machine_.version()] = machine_.digest();
        pb::state_delta delta = machine_.delta_since(view_.version());
        for (pb::state_record& record : *delta.mutable_records()) {
            record.mutable_instance()->set_endpoint("tcp://10.0.0.1:1");
        }
        (void)view_.apply(delta);
    }

    // True when the view holds exactly what the machine held at the view's version.
    [[nodiscard]] bool agrees() const
    {
        const auto known = digests_.find(view_.version());
        return view_.version() <= machine_.version() && known != digests_.end() &&
               known->second == view_.digest();
    }

    [[nodiscard]] const state_machine& machine() const { return machine_; }
    [[nodiscard]] const state_view& view() const { return view_; }

  private:
    void change()
    {
        machine_.apply(random_command(random_));
        digests_[machine_.version()] = machine_.digest();
    }

    void ask()
    {
        const std::uint64_t version =
            random_() % 8 == 0 ? random_() % (machine_.version() + 1) : view_.requested_version();
        on_the_way_.push_back(machine_.delta_since(version));
    }

    void deliver()
    {
        if (on_the_way_.empty()) {
            return;
        }
        const std::size_t chosen = random_() % on_the_way_.size();
        const pb::state_delta delta = on_the_way_[chosen];
        if (random_() % 3 != 0) {
            on_the_way_.erase(on_the_way_.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        if (random_() % 5 != 0) {
            check_apply(delta);
        }
    }

    void check_apply(const pb::state_delta& delta)
    {
        const std::uint64_t before = view_.version();
        const delta_outcome outcome = view_.apply(delta);
        CHECK(view_.version() >= before);
        CHECK((outcome == delta_outcome::advanced) == (view_.version() > before));
    }

    std::mt19937 random_;
    state_machine machine_;
    state_view view_;
    std::map<std::uint64_t, std::uint64_t> digests_;
    std::vector<pb::state_delta> on_the_way_;
};

} // namespace

TEST_CASE("state view: over lost, repeated and reordered deltas it equals the machine or is behind")
{
    for (unsigned seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        followed_machine pair(seed, true);
        for (int step = 0; step < steps; ++step) {
            pair.step();
            REQUIRE(pair.agrees());
        }
        pair.settle();
        CHECK(pair.view().version() == pair.machine().version());
        CHECK(pair.view().digest() == pair.machine().digest());
    }
}

TEST_CASE("state view: a damaged delta changes nothing and everything is asked for")
{
    followed_machine pair(1, true);
    pair.settle();
    pair.damage_one();
    CHECK(pair.agrees());
    CHECK(pair.view().requested_version() == 0);
    pair.settle();
    CHECK(pair.agrees());
    CHECK(pair.view().version() == pair.machine().version());
    CHECK(pair.view().requested_version() == pair.view().version());
}

TEST_CASE("state view: without the digest check a damaged delta is caught by the test's own check")
{
    followed_machine pair(1, false);
    pair.settle();
    pair.damage_one();
    CHECK_FALSE(pair.agrees());
}

TEST_CASE("state view: a stale control instance can't move it back")
{
    state_machine current(cell);
    state_view view(cell);
    current.apply(make_issue("k1", "shrines"));
    const pb::state_delta old_state = current.delta_since(0);
    current.apply(make_withdraw("k1"));
    CHECK(view.apply(current.delta_since(0)) == delta_outcome::advanced);
    CHECK(view.key("k1")->withdrawn());
    CHECK(view.apply(old_state) == delta_outcome::stale);
    CHECK(view.key("k1")->withdrawn());
    CHECK(view.version() == 2);
}

TEST_CASE("state view: gaps and other cells are refused")
{
    state_machine machine(cell);
    machine.apply(make_register("a", "x"));
    machine.apply(make_register("b", "x"));
    state_view view(cell);
    CHECK(view.apply(machine.delta_since(1)) == delta_outcome::gap);
    CHECK(view.version() == 0);
    state_view foreign(cell_name("tunis"));
    CHECK(foreign.apply(machine.delta_since(0)) == delta_outcome::other_cell);
    CHECK(view.apply(machine.delta_since(0)) == delta_outcome::advanced);
    CHECK(view.apply(machine.delta_since(2)) == delta_outcome::confirmed);
}

TEST_CASE("state view: a removal arrives as a tombstone, and old tombstones by a whole state")
{
    state_machine machine(cell);
    state_view view(cell);
    machine.apply(make_register("gone", "x"));
    CHECK(view.apply(machine.delta_since(0)) == delta_outcome::advanced);
    const std::uint64_t known = view.version();
    machine.apply(make_remove("gone"));
    for (std::size_t index = 0; index <= config::max_tombstones; ++index) {
        const std::string name = "i-" + std::to_string(index);
        machine.apply(make_register(name, "x"));
        machine.apply(make_remove(name));
    }
    const pb::state_delta delta = machine.delta_since(known);
    CHECK(delta.from_version() == 0);
    CHECK(delta.records_size() == 0);
    CHECK(view.apply(delta) == delta_outcome::advanced);
    CHECK(view.instance("gone") == nullptr);
    CHECK(view.instances().empty());
    const pb::state_delta recent = machine.delta_since(machine.version() - 2);
    CHECK(recent.from_version() == machine.version() - 2);
    CHECK(recent.records_size() == 1);
}

TEST_CASE("state view: records are listed by kind")
{
    state_machine machine(cell);
    state_view view(cell);
    machine.apply(make_register("entry-1", "x"));
    machine.apply(make_issue("k1", "shrines"));
    machine.apply(make_begin("ledger", 1));
    machine.apply(make_trial("kura", 0));
    CHECK(view.apply(machine.delta_since(0)) == delta_outcome::advanced);
    REQUIRE(view.instances().size() == 1);
    CHECK(view.instances()[0]->instance() == "entry-1");
    REQUIRE(view.keys().size() == 1);
    CHECK(view.keys()[0]->organisation() == "shrines");
    REQUIRE(view.groups().size() == 1);
    CHECK(view.groups()[0]->database() == "ledger");
    CHECK(view.environment("kura")->trial_version() == 1);
}
