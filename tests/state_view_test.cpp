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

constexpr unsigned seed_count = 60;
constexpr int step_count = 300;
const cell_name cell("kyushu");

// A state machine, a view and the deltas in flight, which are lost, duplicated and reordered.
class replicated_state {
  public:
    replicated_state(unsigned seed, bool check_digest)
        : random_(seed), machine_(cell), view_(cell, check_digest)
    {
        digests_[0] = 0;
    }

    void step()
    {
        switch (random_() % 4) {
        case 0:
        case 1:
            apply_random_command();
            break;
        case 2:
            request_delta();
            break;
        default:
            deliver();
            break;
        }
    }

    // Delivers the deltas that the view requests, in order and without loss.
    void catch_up()
    {
        for (int round = 0; round < 3; ++round) {
            check_apply(machine_.delta_since(view_.requested_version()));
        }
    }

    // Corrupts one delta and applies it to the view.
    void apply_corrupted_delta()
    {
        machine_.apply(make_register("damaged", std::to_string(machine_.version())));
        digests_[machine_.version()] = machine_.digest();
        pb::state_delta delta = machine_.delta_since(view_.version());
        for (pb::state_record& record : *delta.mutable_records()) {
            record.mutable_instance()->set_endpoint("tcp://10.0.0.1:1");
        }
        (void)view_.apply(delta);
    }

    // True if the view's digest is that of the machine at the view's version.
    [[nodiscard]] bool is_consistent() const
    {
        const auto expected = digests_.find(view_.version());
        return view_.version() <= machine_.version() && expected != digests_.end() &&
               expected->second == view_.digest();
    }

    [[nodiscard]] const state_machine& machine() const { return machine_; }
    [[nodiscard]] const state_view& view() const { return view_; }

  private:
    void apply_random_command()
    {
        machine_.apply(random_command(random_));
        digests_[machine_.version()] = machine_.digest();
    }

    void request_delta()
    {
        const std::uint64_t version =
            random_() % 8 == 0 ? random_() % (machine_.version() + 1) : view_.requested_version();
        in_flight_.push_back(machine_.delta_since(version));
    }

    void deliver()
    {
        if (in_flight_.empty()) {
            return;
        }
        const std::size_t chosen = random_() % in_flight_.size();
        const pb::state_delta delta = in_flight_[chosen];
        if (random_() % 3 != 0) {
            in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(chosen));
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
    std::vector<pb::state_delta> in_flight_;
};

} // namespace

TEST_CASE("state view: with lost, duplicated and reordered deltas it equals the machine or lags it")
{
    for (unsigned seed = 0; seed < seed_count; ++seed) {
        CAPTURE(seed);
        replicated_state replicated(seed, true);
        for (int step = 0; step < step_count; ++step) {
            replicated.step();
            REQUIRE(replicated.is_consistent());
        }
        replicated.catch_up();
        CHECK(replicated.view().version() == replicated.machine().version());
        CHECK(replicated.view().digest() == replicated.machine().digest());
    }
}

TEST_CASE("state view: a corrupt delta is ignored and the full state is requested")
{
    replicated_state replicated(1, true);
    replicated.catch_up();
    replicated.apply_corrupted_delta();
    CHECK(replicated.is_consistent());
    CHECK(replicated.view().requested_version() == 0);
    replicated.catch_up();
    CHECK(replicated.is_consistent());
    CHECK(replicated.view().version() == replicated.machine().version());
    CHECK(replicated.view().requested_version() == replicated.view().version());
}

TEST_CASE("state view: without the digest check a corrupt delta makes the view inconsistent")
{
    replicated_state replicated(1, false);
    replicated.catch_up();
    replicated.apply_corrupted_delta();
    CHECK_FALSE(replicated.is_consistent());
}

TEST_CASE("state view: a stale control instance cannot revert it")
{
    state_machine current(cell);
    state_view view(cell);
    current.apply(make_issue("k1", "shrines"));
    const pb::state_delta stale_delta = current.delta_since(0);
    current.apply(make_withdraw("k1"));
    CHECK(view.apply(current.delta_since(0)) == delta_outcome::advanced);
    CHECK(view.key("k1")->withdrawn());
    CHECK(view.apply(stale_delta) == delta_outcome::stale);
    CHECK(view.key("k1")->withdrawn());
    CHECK(view.version() == 2);
}

TEST_CASE("state view: deltas with a gap or from another cell are rejected")
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

TEST_CASE("state view: a removal is sent as a tombstone, or as the full state if the tombstone is "
          "dropped")
{
    state_machine machine(cell);
    state_view view(cell);
    machine.apply(make_register("gone", "x"));
    CHECK(view.apply(machine.delta_since(0)) == delta_outcome::advanced);
    const std::uint64_t base_version = view.version();
    machine.apply(make_remove("gone"));
    for (std::size_t index = 0; index <= config::max_tombstones; ++index) {
        const std::string name = "i-" + std::to_string(index);
        machine.apply(make_register(name, "x"));
        machine.apply(make_remove(name));
    }
    const pb::state_delta delta = machine.delta_since(base_version);
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
