// One control instance's replica of the state, built of the consensus core, the journal and the
// state machine. All calls must be made on one thread.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/consensus.h>
#include <primrosehead/error.h>
#include <primrosehead/journal.h>
#include <primrosehead/settings.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

class replica {
  public:
    // Called once, with the reply of the committed command or with an error: `not_leader`,
    // `version_conflict` (another membership change is in progress) or `no_quorum`. If leadership
    // is lost before the commit is known, the outcome is unknown (`ran` is "unknown"); retrying
    // with the same request id is safe.
    using completion = std::function<void(const pb::operator_reply& reply)>;
    using sender = std::function<void(const pb::consensus_message& message)>;

    // Opens the data folder `files`. `disk_id` identifies the folder if it is new; `seed`
    // randomises the election timeouts.
    [[nodiscard]] static result<std::unique_ptr<replica>>
    open(const control_settings& settings, std::unique_ptr<disk> files, std::string disk_id,
         std::uint64_t seed, clock::time_point now, sender send);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    // While the disk rejects writes the replica is suspended: it neither sends nor receives, is not
    // current, and refuses proposals. `tick` repeats the failed writes and resumes once they
    // succeed. Return an error only if the replica can't continue; the process must then exit.
    [[nodiscard]] status receive(const pb::consensus_message& message, clock::time_point now);
    [[nodiscard]] status tick(clock::time_point now);

    [[nodiscard]] status propose(const pb::command& command, clock::time_point now,
                                 completion done);
    [[nodiscard]] status add_member(const pb::member& member, clock::time_point now,
                                    completion done);
    [[nodiscard]] status remove_member(const instance_name& instance, clock::time_point now,
                                       completion done);

    struct disk_outage {
        error cause;
        clock::time_point since;
    };
    [[nodiscard]] const std::optional<disk_outage>& outage() const noexcept;

    [[nodiscard]] const state_machine& state() const noexcept;
    [[nodiscard]] const pb::membership& members() const noexcept;

    [[nodiscard]] std::vector<consensus::core::progress>
    member_progress(clock::time_point now) const;
    [[nodiscard]] std::uint64_t commit_index() const noexcept;
    [[nodiscard]] const std::string& disk_id() const noexcept;
    [[nodiscard]] bool is_tail_truncated() const noexcept; // when the folder was opened

    // True if this instance may serve reads as the leader: see `consensus::core::is_current`.
    [[nodiscard]] bool is_current(clock::time_point now) const noexcept;
    // See `consensus::core::contact_age`.
    [[nodiscard]] clock::duration contact_age(clock::time_point now) const;
    [[nodiscard]] std::uint64_t term() const noexcept;
    // The time at which this instance last became leader.
    [[nodiscard]] clock::time_point elected_at() const noexcept;
    // The last known leader during an outage, unless it is this instance.
    [[nodiscard]] std::string leader_endpoint() const; // empty if unknown
    [[nodiscard]] std::string_view role_name() const noexcept;

  private:
    struct implementation;
    explicit replica(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace primrosehead
