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
    fleet::safeguards safeguards;
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

    [[nodiscard]] pb::heartbeat_reply handle_heartbeat(const pb::heartbeat& heartbeat,
                                                       clock::time_point now);

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
        pb::hard_state hard_state;
        std::optional<pb::snapshot_record> snapshot;
        std::vector<pb::log_entry> entries;
    };

    struct pending_proposal {
        std::uint64_t term = 0;
        completion done;
    };

    void process_output(consensus::output output, clock::time_point now);
    void persist(const consensus::output& output);
    void apply(const pb::log_entry& entry);
    void compact_if_due();
    void advance_service(clock::time_point now);

    control_options options_;
    fake_disk disk_;
    std::uint64_t disk_count_ = 1;
    std::uint64_t start_count_ = 0;
    std::optional<consensus::core> core_;
    state_machine state_;
    std::uint64_t applied_index_ = 0;
    std::uint64_t compacted_index_ = 0;
    std::optional<fleet::service> service_;
    std::map<std::uint64_t, pending_proposal> pending_proposals_;
};

} // namespace primrosehead::scenario
