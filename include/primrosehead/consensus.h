// Consensus between the control instances of a cell: a replicated log based on Raft (Ongaro and
// Ousterhout, 2014) with pre-vote, check-quorum, a leader lease and learners.
//
// The core performs no I/O. Its inputs are messages, the time and a seed; its outputs are the data
// to write, send and apply.
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

// Each switch disables one safety mechanism, so that a test can show that its checks detect the
// violation. Tests only.
struct unsafe_switches {
    bool no_pre_vote = false;           // campaign with a higher term immediately
    bool no_check_quorum = false;       // a leader stays leader without replies from a majority
    bool no_leader_lease = false;       // a leader is current even when its lease has expired
    bool no_leader_stickiness = false;  // vote even if a leader was active within `election_min`
    bool no_startup_vote_delay = false; // vote immediately after a restart
    bool no_disk_check = false;         // count votes and replies from unregistered disks
    bool no_learner_stage = false;      // a new member is a voter immediately
    bool commit_older_terms = false;    // commit entries of earlier terms by counting replicas
};

struct core_settings {
    instance_name instance;
    std::string disk_id;
    clock::duration heartbeat{50};
    clock::duration election_min{300};
    clock::duration election_max{600};
    // Time after which a silent registered disk of a member is replaced by the unregistered disk
    // from which the member replies. The member then becomes a learner. If zero, disks are replaced
    // only through `core::add_member`.
    clock::duration disk_replacement_timeout{2'000};
    std::uint64_t seed = 0;
    unsafe_switches unsafe;
};

// Contents of the data folder at startup.
//
// `initial_members` apply when the log and the snapshot are empty. If their disk ids are empty, all
// of them must vote in the first election, whose leader registers the disks of the votes.
struct persisted_state {
    pb::hard_state hard_state;
    std::optional<pb::snapshot_record> snapshot;
    std::vector<pb::log_entry> entries; // entries after the snapshot
    pb::membership initial_members;     // members of a new cell
};

// Actions for the owner, to be carried out in the order of the fields. Messages may be sent only
// after all preceding fields are synced.
//
// Durability: after writing and syncing `initial_members`, `hard_state`, `snapshot`,
// `truncate_from` and `entries` the owner calls `core::on_synced`; a leader counts its own entries
// only then. A follower's acknowledgement is one of `messages` and is therefore sent after the sync
// as well. If a write or sync fails, the owner may neither send messages nor call the core again
// until it has repeated the write with success.
struct output {
    std::optional<pb::membership> initial_members; // of the new cell that this instance belongs to
    std::optional<pb::hard_state> hard_state;
    std::optional<pb::snapshot_record> snapshot; // replaces the log and the snapshot
    std::optional<std::uint64_t> truncate_from;  // removes this entry and all later ones
    std::vector<pb::log_entry> entries;          // entries to append
    std::vector<pb::consensus_message> messages; // messages to send
    std::optional<std::string> restore_state;    // state of an installed snapshot
    std::vector<pb::log_entry> committed;        // entries to apply, in order
};

class core {
  public:
    [[nodiscard]] static result<core> create(core_settings settings, persisted_state stored,
                                             clock::time_point now);
    ~core();
    core(core&&) noexcept;
    core& operator=(core&&) noexcept;
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // Drives elections and heartbeats; call about every 10 ms.
    [[nodiscard]] output tick(clock::time_point now);

    [[nodiscard]] output receive(const pb::consensus_message& message, clock::time_point now);

    // Call once the writes of all earlier outputs are synced. May commit entries.
    [[nodiscard]] output on_synced(clock::time_point now);

    // Appends a command. Returns `error_kind::not_leader` on other instances than the leader,
    // `no_quorum` while a new cell bootstraps and `overloaded` when too many entries are
    // uncommitted. `index` and `term` identify the command in `output::committed`.
    struct proposal {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        output work;
    };
    [[nodiscard]] result<proposal> propose(std::string command, clock::time_point now);

    // Adds a learner, which becomes a voter once it has stored every committed entry durably.
    // Replaces a member that is registered with another disk id. Returns
    // `error_kind::version_conflict` while another membership change is in progress.
    [[nodiscard]] result<proposal> add_member(const pb::member& member, clock::time_point now);
    [[nodiscard]] result<proposal> remove_member(const instance_name& instance,
                                                 clock::time_point now);

    // Compacts the log: `state` is the application state after entry `index`. Returns the snapshot
    // record to write.
    [[nodiscard]] pb::snapshot_record compact(std::uint64_t index, std::string state);

    [[nodiscard]] consensus::role role() const noexcept;
    [[nodiscard]] std::uint64_t term() const noexcept;
    [[nodiscard]] std::uint64_t commit_index() const noexcept;
    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] std::string leader() const; // instance name, empty when unknown
    [[nodiscard]] const pb::membership& members() const noexcept;

    // Returns true for a new cell until every initial member has stored the registration of the
    // members' disks.
    [[nodiscard]] bool is_bootstrapping() const;

    // Replication progress of a member as seen by the leader.
    struct progress {
        std::string instance;
        std::uint64_t match_index = 0; // last entry that is durable on the member
        // Time since the latest answered message was sent. For a member that has not replied yet,
        // time since this leader added it.
        clock::duration time_since_contact{0};
    };
    [[nodiscard]] std::vector<progress> member_progress(clock::time_point now) const;

    // Returns true while this leader's lease is valid: a majority answered a message sent within
    // the last nine tenths of `election_min` (the margin allows for clock drift), and an entry of
    // the leader's term is committed. Only then may the instance serve requests as the leader.
    [[nodiscard]] bool is_current(clock::time_point now) const noexcept;

    // Time since a majority answered a message that was sent then: what this leader tells is as
    // old. At most `election_min`.
    [[nodiscard]] clock::duration contact_age(clock::time_point now) const;

  private:
    struct implementation;
    explicit core(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::consensus
