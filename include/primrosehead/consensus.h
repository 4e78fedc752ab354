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

// Turn one safety mechanism off each, so that a test can show that its checker catches the breach.
// Never set outside tests.
struct unsafe_switches {
    bool no_pre_vote = false;           // campaign with a higher term at once
    bool no_check_quorum = false;       // a leader without answers stays leader
    bool no_leader_lease = false;       // a leader is current whether or not its lease holds
    bool no_leader_stickiness = false;  // vote although a leader was heard within election_min
    bool no_startup_vote_delay = false; // vote at once after a start, whatever was heard before it
    bool no_disk_check = false;         // count votes and answers of any disk
    bool no_learner_stage = false;      // a new member votes at once
    bool commit_older_terms = false;    // count copies of entries of earlier terms
};

struct core_settings {
    instance_name instance;
    std::string disk_id;
    clock::duration heartbeat{50};
    clock::duration election_min{300};
    clock::duration election_max{600};
    // A member that answers from an unregistered disk becomes a learner under that disk once its
    // registered disk has been silent for this long; zero: only by `core::add_member`.
    clock::duration disk_replacement_timeout{2'000};
    std::uint64_t seed = 0;
    unsafe_switches unsafe;
};

// What the data folder held at start.
//
// `initial_members` are used when log and snapshot are empty. Their disk ids may be empty: then all
// of them must take part in the first election, whose leader registers the disks that voted.
struct persisted_state {
    pb::hard_state hard_state;
    std::optional<pb::snapshot_record> snapshot;
    std::vector<pb::log_entry> entries; // after the snapshot
    pb::membership initial_members;     // of a new cell
};

// Work for the owner, to be done in the order of the fields. Messages leave only after everything
// before them is synced.
//
// Durability: after writing and syncing `hard_state`, `snapshot`, `truncate_from` and `entries` the
// owner calls `core::on_synced`; only then does a leader count its own entries. A follower's
// acknowledgement is one of `messages`, so it leaves after the sync as well. If a write or sync
// fails, the owner stops: it neither sends nor calls the core again.
struct output {
    std::optional<pb::hard_state> hard_state;
    std::optional<pb::snapshot_record> snapshot; // replace log and snapshot by this one
    std::optional<std::uint64_t> truncate_from;  // drop entries with this index and after
    std::vector<pb::log_entry> entries;          // append
    std::vector<pb::consensus_message> messages; // send
    std::optional<std::string> restore_state;    // state of an installed snapshot
    std::vector<pb::log_entry> committed;        // apply, in order
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

    // Drives elections and heartbeats; call every 10 ms or so.
    [[nodiscard]] output tick(clock::time_point now);

    [[nodiscard]] output receive(const pb::consensus_message& message, clock::time_point now);

    // Everything that earlier outputs asked to write is written and synced. May commit entries.
    [[nodiscard]] output on_synced(clock::time_point now);

    // Appends a command; `error_kind::not_leader` elsewhere. `index` and `term` identify it in
    // `output::committed`.
    struct proposal {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        output work;
    };
    [[nodiscard]] result<proposal> propose(std::string command, clock::time_point now);

    // Adds a learner, which becomes a voter once it holds every committed entry durably. A member
    // that is known under another disk id is replaced. One change at a time: meanwhile
    // `error_kind::version_conflict`.
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

    // True for a new cell until every first member holds the registration of their disks.
    [[nodiscard]] bool is_bootstrapping() const;

    // What a leader knows of a member.
    struct progress {
        std::string instance;
        std::uint64_t match_index = 0; // durable there
        // Since the latest answered asking; of a member that was never heard, since this leader
        // knows it.
        clock::duration time_since_contact{0};
    };
    [[nodiscard]] std::vector<progress> member_progress(clock::time_point now) const;

    // True while this leader's lease holds: a majority answered a message asked within nine tenths
    // of election_min (the rest allows for clocks of different speed), and an entry of its own term
    // is committed. Only then may it answer as current.
    [[nodiscard]] bool is_current(clock::time_point now) const noexcept;

  private:
    struct implementation;
    explicit core(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::consensus
