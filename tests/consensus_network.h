// Simulated network of consensus cores: seeded message loss, delay and duplication, link cuts,
// crashes and lost disks. Checks the safety properties after every event.
#pragma once

#include "consensus_node.h"

#include <primrosehead/clock.h>
#include <primrosehead/consensus.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead::testing {

struct network_options {
    std::uint64_t seed = 1;
    int members = 3;
    bool disks_registered = true;    // false: the new cell must register its disks
    bool knows_members_once = false; // the initial members are given at first starts only
    int loss_per_mille = 0;
    int duplicate_per_mille = 0;
    clock::duration delay_min{1};
    clock::duration delay_max{3};
    consensus::unsafe_switches unsafe;
    disk_faults disk;
    std::uint64_t snapshot_after = 40; // applied entries between snapshots
    clock::duration disk_replacement_timeout{2'000};
    std::size_t state_bytes = 100;
    journal_switches journal;
};

class consensus_network {
  public:
    explicit consensus_network(const network_options& options);

    void run(clock::duration duration);
    void step(); // advances by `tick_interval`

    // Runs until a current leader exists or `timeout` has passed. Returns the name of the leader,
    // or an empty string.
    std::string run_until_leader(clock::duration timeout = clock::duration(5'000));

    void cut_link(std::string_view left, std::string_view right);
    void isolate(std::string_view name);
    void heal_links();
    void crash(std::string_view name);
    void restart(std::string_view name);
    void lose_disk(std::string_view name); // crashes the instance and empties its data folder
    void pause(std::string_view name);
    void resume(std::string_view name);

    // Starts an instance that is not a member yet and returns its disk id.
    std::string start_nonmember(std::string_view name);

    // Proposes a command at the leader. Returns false if no leader accepted it.
    bool propose(std::string_view command);
    result<std::uint64_t> add_member(const pb::member& member);
    result<std::uint64_t> remove_member(std::string_view name);

    [[nodiscard]] node& at(std::string_view name);
    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] std::vector<std::string> running_names() const;
    [[nodiscard]] std::string current_leader() const; // empty if no leader is current
    [[nodiscard]] std::uint64_t highest_term() const;
    [[nodiscard]] std::uint64_t committed_index() const; // highest committed index on any instance
    [[nodiscard]] bool command_committed(std::string_view command) const;
    [[nodiscard]] std::string
    stop_reasons() const; // errors of the instances that stopped themselves
    [[nodiscard]] std::uint64_t
    random_below(std::uint64_t limit); // in [0, limit), from the seeded generator
    [[nodiscard]] clock::time_point now() const { return now_; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

    // Totals over all messages between nodes, lost ones included.
    [[nodiscard]] std::uint64_t messages_sent() const { return messages_sent_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

    static constexpr clock::duration tick_interval{10};

  private:
    struct queued_message {
        clock::time_point due;
        std::uint64_t number = 0;
        pb::consensus_message message;
    };

    void deliver_due();
    void add_node(const std::string& name, const std::string& disk_id,
                  const pb::membership& initial_members);
    void send(std::span<const pb::consensus_message> messages);
    void enqueue(const pb::consensus_message& message);
    void process_effects(node& changed);
    void check_leader(const node& changed);
    void check_committed(node& changed);
    void check_current();
    [[nodiscard]] bool reachable(const std::string& left, const std::string& right) const;
    [[nodiscard]] clock::time_point local_time(const node& instance) const;

    network_options options_;
    std::mt19937_64 random_;
    clock::time_point now_{clock::duration(1'000'000)};
    std::map<std::string, std::unique_ptr<node>, std::less<>> nodes_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::vector<queued_message> queue_;
    std::uint64_t queued_count_ = 0;
    std::uint64_t disk_count_ = 0;
    std::map<std::uint64_t, std::string> leader_of_term_;
    std::map<std::uint64_t, std::string> committed_; // serialised entry by index
    std::map<std::uint64_t, std::uint64_t> digests_; // state digest by applied index
    std::set<std::string, std::less<>> commands_;
    std::vector<std::string> violations_;
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace primrosehead::testing
