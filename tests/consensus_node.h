// One control instance of the test network: a consensus core, a journal, and a state that consists
// of a running digest.
#pragma once

#include "fake_disk.h"

#include <primrosehead/consensus.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primrosehead::testing {

struct node_options {
    consensus::core_settings core;
    pb::membership initial_members;
    bool knows_members_once = false;   // they are given at the first start only
    std::uint64_t snapshot_after = 40; // applied entries between snapshots
    clock::duration clock_offset{0};   // added to the network time
    std::size_t state_bytes = 100;     // size of the state in a snapshot
    journal_switches journal;
};

// An applied entry, recorded for the checks of the network.
struct applied_entry {
    std::uint64_t index = 0;
    std::string bytes;        // serialised entry, empty after a snapshot
    std::uint64_t digest = 0; // state digest after the entry
};

class node {
  public:
    node(node_options options, std::uint64_t disk_seed, disk_faults faults);

    void start(clock::time_point now);
    void crash();
    void replace_disk(const std::string& disk_id, std::uint64_t disk_seed);

    void tick(clock::time_point now);
    void receive(const pb::consensus_message& message, clock::time_point now);
    [[nodiscard]] status propose(std::string command, clock::time_point now);
    [[nodiscard]] result<std::uint64_t> add_member(const pb::member& member, clock::time_point now);
    [[nodiscard]] result<std::uint64_t> remove_member(std::string_view name, clock::time_point now);

    [[nodiscard]] bool is_running() const { return core_ != nullptr && !is_paused_; }
    [[nodiscard]] bool is_paused() const { return is_paused_; }
    [[nodiscard]] bool has_core() const { return core_ != nullptr; } // true while paused, too
    void set_paused(bool paused) { is_paused_ = paused; }
    [[nodiscard]] const consensus::core& core() const { return *core_; }
    [[nodiscard]] const node_options& options() const { return options_; }
    [[nodiscard]] fake_folder& folder() { return *folder_; }
    [[nodiscard]] std::uint64_t applied_index() const { return applied_index_; }
    [[nodiscard]] std::uint64_t digest() const { return digest_; }
    [[nodiscard]] const std::string& failure_text() const { return failure_; }

    // Collected by the network after each event.
    std::vector<pb::consensus_message> outbox;
    std::vector<applied_entry> applied;

  private:
    void process_output(consensus::output work, clock::time_point now);
    [[nodiscard]] status write(const consensus::output& work);
    void apply(const pb::log_entry& entry);
    void restore(const std::string& state, std::uint64_t index);
    void compact_if_due();
    void stop_with_error(const error& problem);

    node_options options_;
    disk_faults faults_;
    std::unique_ptr<fake_folder> folder_;
    std::optional<journal> journal_;
    std::unique_ptr<consensus::core> core_;
    bool is_paused_ = false;
    bool has_started_ = false;
    std::uint64_t applied_index_ = 0;
    std::uint64_t snapshot_index_ = 0;
    std::uint64_t digest_ = 0;
    std::string failure_;
};

} // namespace primrosehead::testing
