// The entry instances that send heartbeats to the control leader.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::fleet {

// Directory revision included in a reply to an instance.
struct sent_reply {
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
};

struct instance_entry {
    pb::instance_record self;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t state_version = 0;
    clock::time_point last_heartbeat_at;
    clock::time_point registration_proposed_at;
    std::uint64_t confirmed_revision = 0; // highest directory revision that the instance confirmed
    std::deque<sent_reply> replies;       // sent, not yet confirmed
};

class instance_table {
  public:
    explicit instance_table(clock::duration timeout) : timeout_(timeout) {}

    // Records a heartbeat. Returns null for an out-of-order or duplicate one.
    instance_entry* record_heartbeat(const pb::heartbeat& heartbeat, clock::time_point now);

    [[nodiscard]] const instance_entry* find(std::string_view instance) const;
    [[nodiscard]] std::vector<std::string> live(clock::time_point now) const;
    [[nodiscard]] bool is_live(const instance_entry& entry, clock::time_point now) const;

    // Returns commands that register the live instances whose record in the state is missing or
    // out of date.
    [[nodiscard]] std::vector<pb::command> registrations(const state_machine& state,
                                                         clock::time_point now);

    // Removes instances without heartbeats for the retention period, after which any lease of
    // theirs has ended.
    void remove_expired(clock::time_point now);

  private:
    clock::duration timeout_;
    std::map<std::string, instance_entry, std::less<>> entries_;
};

} // namespace primrosehead::fleet
