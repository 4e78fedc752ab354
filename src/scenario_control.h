// A control instance of a scenario: the real consensus core, state machine and fleet service over
// a fake disk that is durable at once.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/consensus.h>
#include <primrosehead/fleet.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrosehead::scenario {

struct control_options {
    std::string name;
    std::string cell;
    std::string environment;
    pb::membership initial_members;
    std::uint64_t seed = 0;
    consensus::unsafe_switches unsafe;
    fleet::safeguards on;
};

class control {
  public:
    explicit control(control_options options);

    void start(clock::time_point now);
    void stop();
    void lose_disk();

    void tick(clock::time_point now);
    void receive(const pb::consensus_message& message, clock::time_point now);

    // Called with the committed answer; never, when the commit isn't known here.
    using completion = std::function<void(const pb::operator_reply&)>;
    // False when this instance may not answer as the leader.
    bool propose(const pb::command& command, clock::time_point now, completion done);

    [[nodiscard]] pb::heartbeat_reply heartbeat(const pb::heartbeat& beat, clock::time_point now);

    [[nodiscard]] const std::string& name() const noexcept { return options_.name; }
    [[nodiscard]] bool is_current(clock::time_point now) const;
    [[nodiscard]] std::uint64_t term() const;
    [[nodiscard]] const state_machine& state() const noexcept { return state_; }
    [[nodiscard]] std::uint64_t voters() const;
    [[nodiscard]] bool is_voter() const;
    [[nodiscard]] fleet::service* service() noexcept { return service_ ? &*service_ : nullptr; }

    // Taken by the world after each event.
    std::vector<pb::consensus_message> outbox;
    std::vector<fleet::action> actions;

  private:
    struct fake_disk {
        std::string id;
        pb::hard_state hard;
        std::optional<pb::snapshot_record> snapshot;
        std::vector<pb::log_entry> entries;
    };

    struct waiting_proposal {
        std::uint64_t term = 0;
        completion done;
    };

    void carry_out(consensus::output work, clock::time_point now);
    void write(const consensus::output& work);
    void apply(const pb::log_entry& entry);
    void compact_when_due();
    void lead(clock::time_point now);

    control_options options_;
    fake_disk disk_;
    std::uint64_t disks_ = 1;
    std::uint64_t starts_ = 0;
    std::optional<consensus::core> core_;
    state_machine state_;
    std::uint64_t applied_ = 0;
    std::uint64_t compacted_ = 0;
    std::optional<fleet::service> service_;
    std::map<std::uint64_t, waiting_proposal> waiting_;
};

} // namespace primrosehead::scenario
