// Implementation of `consensus::core`. Its functions are defined in consensus_core.cpp (entry
// points), consensus_election.cpp, consensus_replication.cpp, consensus_snapshot.cpp and
// consensus_members.cpp.
#pragma once

#include "consensus_log.h"
#include "consensus_peer.h"
#include "consensus_role.h"

#include <primrosehead/consensus.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace primrosehead::consensus {

// A snapshot that is being received in chunks.
struct snapshot_transfer {
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    std::string state;
};

struct core::implementation {
    implementation(core_settings initial_settings, pb::hard_state initial_hard_state,
                   entry_log initial_log, clock::time_point now);

    // Entry points.
    void tick(clock::time_point now);
    void receive(const pb::consensus_message& message, clock::time_point now);
    void on_synced(clock::time_point now);
    [[nodiscard]] result<proposal> propose(std::string command, clock::time_point now);
    [[nodiscard]] pb::snapshot_record compact(std::uint64_t index, std::string state);
    [[nodiscard]] output take_output();
    [[nodiscard]] result<proposal> attach_output(result<proposal> proposed);

    // Elections (consensus_election.cpp).
    void campaign(clock::time_point now);
    [[nodiscard]] bool can_adopt_members(const pb::consensus_message& message) const;
    void adopt_members(const pb::membership& members, clock::time_point now);
    void request_votes(bool pre_vote, clock::time_point now);
    void count_votes(clock::time_point now);
    void become_candidate(clock::time_point now);
    void become_leader(clock::time_point now);
    void become_follower(std::uint64_t term, std::string_view leader, clock::time_point now);
    void step_down(clock::time_point now);
    void handle_vote_request(const pb::consensus_message& message, clock::time_point now);
    void handle_vote_reply(const pb::consensus_message& message, clock::time_point now);
    void send_vote_reply(const pb::consensus_message& message, bool granted);
    [[nodiscard]] bool can_campaign() const;
    [[nodiscard]] bool can_grant_vote(const pb::consensus_message& message) const;
    [[nodiscard]] bool has_live_leader(clock::time_point now) const;
    void restart_election_timer(clock::time_point now);

    // Replication (consensus_replication.cpp).
    std::uint64_t append_to_log(pb::log_entry entry);
    void append_no_op();
    void replicate_to_all(clock::time_point now);
    void replicate_to(const std::string& instance, peer& target, clock::time_point now);
    void send_heartbeat(const std::string& instance, peer& target, clock::time_point now);
    void send_append(const std::string& instance, std::uint64_t previous,
                     std::vector<pb::log_entry> entries, clock::time_point now);
    void handle_append_request(const pb::consensus_message& message, clock::time_point now);
    static void record_reply(peer& target, clock::time_point acknowledged_sent_at,
                             clock::time_point now);
    void rewind_next_index(const std::string& instance, peer& target, std::uint64_t hint,
                           clock::time_point now);
    void handle_append_reply(const pb::consensus_message& message, clock::time_point now);
    void send_append_reply(const pb::consensus_message& message, bool accepted,
                           std::uint64_t match_index);
    [[nodiscard]] std::uint64_t merge_entries(const pb::append_request& request);
    [[nodiscard]] std::uint64_t rejection_hint(const pb::append_request& request) const;
    void advance_commit(clock::time_point now);
    void commit_through(std::uint64_t index);

    // Snapshots (consensus_snapshot.cpp).
    void send_chunk(const std::string& instance, peer& target, clock::time_point now);
    void handle_chunk(const pb::consensus_message& message, clock::time_point now);
    void handle_chunk_reply(const pb::consensus_message& message, clock::time_point now);
    void install_snapshot(const pb::snapshot_chunk& chunk);
    void send_chunk_reply(const pb::consensus_message& message, bool installed,
                          std::uint64_t received);

    // Membership (consensus_members.cpp).
    [[nodiscard]] result<proposal> add_member(const pb::member& added, clock::time_point now);
    [[nodiscard]] result<proposal> remove_member(std::string_view instance, clock::time_point now);
    [[nodiscard]] status check_change_allowed() const;
    [[nodiscard]] status check_live_majority(const pb::membership& next,
                                             clock::time_point now) const;
    proposal append_membership(pb::membership next, clock::time_point now);
    void on_membership_changed(clock::time_point now);
    void promote_learner(clock::time_point now);
    void replace_initial_disk(const pb::consensus_message& message, clock::time_point now);
    void register_replacement_disk(const pb::consensus_message& message, clock::time_point now);
    [[nodiscard]] const pb::member* find_member(std::string_view instance) const;
    [[nodiscard]] bool is_from_registered_disk(const pb::consensus_message& message) const;
    [[nodiscard]] bool is_own_disk_registered() const;
    // Returns true for the members of a new cell that has not had a leader yet.
    [[nodiscard]] static bool has_unregistered_disks(const pb::membership& members);
    [[nodiscard]] bool is_bootstrapping() const;
    [[nodiscard]] pb::membership membership_from_votes() const;

    // The largest index that a majority of the voters has stored durably.
    [[nodiscard]] std::uint64_t majority_index() const;
    [[nodiscard]] clock::time_point majority_contact_at(clock::time_point now,
                                                        clock::time_point default_contact_at) const;
    [[nodiscard]] bool is_current(clock::time_point now) const;
    [[nodiscard]] clock::duration contact_age(clock::time_point now) const;

    [[nodiscard]] consensus::role role() const noexcept { return roles.current(); }
    [[nodiscard]] const std::string& self() const noexcept { return settings.instance.text(); }
    [[nodiscard]] pb::consensus_message message_to(std::string_view instance) const;
    void save_hard_state();

    core_settings settings;
    pb::hard_state hard_state;
    entry_log log;
    role_machine roles;
    std::mt19937_64 random;

    std::string leader;                  // leader of this term, empty when unknown
    clock::time_point leader_contact_at; // process start until the first contact
    clock::time_point election_deadline;
    std::map<std::string, std::string> votes; // disk by instance, votes granted in this round

    std::uint64_t commit_index = 0;
    std::uint64_t durable_index = 0; // last durable entry of this log

    // Used only while leader.
    std::map<std::string, peer> peers;
    clock::time_point elected_at;
    clock::time_point heartbeat_deadline;
    std::uint64_t term_start_index = 0; // first entry of this leader's term

    std::optional<snapshot_transfer> incoming;
    output out;
};

} // namespace primrosehead::consensus
