// Consensus between the control instances of a cell: a replicated log after Raft (Ongaro and
// Ousterhout, 2014) with pre-vote, check-quorum, a leader lease and learners.
//
// The core is pure: messages, time and a seed go in; what to write, send and apply comes out.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primrosehead::consensus {

enum class role { learner, follower, pre_candidate, candidate, leader };

struct core_settings {
    instance_name instance;
    std::string disk_id;
    clock::duration heartbeat{50};
    clock::duration election_min{300};
    clock::duration election_max{600};
    std::uint64_t seed = 0;
};

// What the data folder held at start.
struct persisted {
    pb::hard_state hard;
    std::optional<pb::snapshot_record> snapshot;
    std::vector<pb::log_entry> entries; // after the snapshot
    pb::membership first_members;       // of a new cell; used when log and snapshot are empty
};

// Work for the owner, to be done in the order of the fields. Messages leave only after everything
// before them is synced.
struct output {
    std::optional<pb::hard_state> hard;
    std::optional<pb::snapshot_record> snapshot; // replace log and snapshot by this one
    std::optional<std::uint64_t> truncate_from;  // drop entries with this index and after
    std::vector<pb::log_entry> entries;          // append
    std::vector<pb::consensus_message> messages; // send
    std::optional<std::string> restore_state;    // state of an installed snapshot
    std::vector<pb::log_entry> committed;        // apply, in order
};

class core {
  public:
    [[nodiscard]] static result<core> create(core_settings settings, persisted stored,
                                             clock::time_point now);
    ~core();
    core(core&&) noexcept;
    core& operator=(core&&) noexcept;
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // Drives elections and heartbeats; call every 10 ms or so.
    [[nodiscard]] output tick(clock::time_point now);

    [[nodiscard]] output receive(const pb::consensus_message& message, clock::time_point now);

    // Appends a command; `error_kind::not_leader` elsewhere. `index` and `term` identify it in
    // `output::committed`.
    struct proposal {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        output work;
    };
    [[nodiscard]] result<proposal> propose(std::string command, clock::time_point now);

    // Adds a learner, makes it a voter once it holds everything, or removes a member: one change at
    // a time.
    [[nodiscard]] result<proposal> add_member(const pb::member& member, clock::time_point now);
    [[nodiscard]] result<proposal> remove_member(const instance_name& instance,
                                                 clock::time_point now);

    // The state through `index` is in `state`; entries through it are dropped.
    // Returns the record to write.
    [[nodiscard]] pb::snapshot_record compact(std::uint64_t index, std::string state);

    [[nodiscard]] consensus::role role() const noexcept;
    [[nodiscard]] std::uint64_t term() const noexcept;
    [[nodiscard]] std::uint64_t commit_index() const noexcept;
    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] std::string leader() const; // instance name, empty when unknown
    [[nodiscard]] const pb::membership& members() const noexcept;

    // True while this leader's lease holds: a majority answered a message asked within
    // election_min, and an entry of its own term is committed. Only then may it answer as current.
    [[nodiscard]] bool is_current(clock::time_point now) const noexcept;

  private:
    struct implementation;
    explicit core(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::consensus
