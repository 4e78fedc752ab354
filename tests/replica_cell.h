// Replicas connected by a network without loss or delay, each with a fake data folder.
#pragma once

#include "fake_disk.h"

#include <primrosehead/replica.h>
#include <primrosehead/settings.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

class replica_cell {
  public:
    explicit replica_cell(int members, std::uint32_t snapshot_after = 50, std::uint64_t seed = 0);

    void run(clock::duration time);
    std::string run_until_leader(); // returns its name, or an empty string on timeout

    void stop(std::string_view name); // simulates a power loss
    void start(std::string_view name);
    void lose_disk(std::string_view name);
    void isolate(std::string_view name) { isolated_.insert(std::string(name)); }
    void heal() { isolated_.clear(); }

    // Proposes to issue a key at instance `at`. The slot is filled when the proposal completes.
    using reply_slot = std::shared_ptr<std::optional<pb::operator_reply>>;
    reply_slot issue_key(std::string_view at, std::string_view key_id, std::string_view request_id);
    reply_slot add_member(std::string_view at, const pb::member& member);

    [[nodiscard]] replica& at(std::string_view name)
    {
        return *instances_.find(name)->second.process;
    }
    [[nodiscard]] fake_folder& folder(std::string_view name)
    {
        return *instances_.find(name)->second.folder;
    }
    [[nodiscard]] bool is_running(std::string_view name)
    {
        return instances_.find(name)->second.process != nullptr;
    }
    [[nodiscard]] clock::time_point now() const { return now_; }
    [[nodiscard]] const std::string& failure_log() const { return failure_; }

  private:
    struct instance {
        control_settings settings;
        std::unique_ptr<fake_folder> folder;
        std::unique_ptr<replica> process;
        std::string disk_id;
    };

    void deliver();
    void check(std::string_view name, const status& done);

    std::map<std::string, instance, std::less<>> instances_;
    std::deque<pb::consensus_message> messages_;
    std::set<std::string, std::less<>> isolated_;
    clock::time_point now_{clock::duration(1'000)};
    std::uint64_t starts_ = 0;
    std::string failure_;
};

} // namespace primrosehead::testing
