// An entry instance of a scenario: the real lease holder, state view and allowances; requests are
// reduced to a write's id or one unit of an organisation's rate.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/environment.h>
#include <primrosehead/lease.h>
#include <primrosehead/limits.h>
#include <primrosehead/state_view.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::scenario {

// Mechanisms of entry instances that a scenario can turn off.
struct entry_safeguards {
    bool require_lease = true;            // to acknowledge a write
    bool require_key_confirmation = true; // keyed routes stop when keys aren't confirmed
    bool share_limits = true;             // else every instance spends a whole contract
    bool lease_from_request_time = true;
};

struct entry_options {
    std::string name;
    std::string cell;
    std::string environment;
    std::string failure_domain;
    entry_safeguards safeguards;
};

class entry {
  public:
    entry(entry_options options, clock::time_point now);

    // A new process under the same name.
    void restart(clock::time_point now);

    // The next heartbeat, when it is due.
    [[nodiscard]] std::optional<pb::heartbeat> next_heartbeat(clock::time_point now);
    // Changes control instance after silence.
    [[nodiscard]] std::size_t choose_control(clock::time_point now, std::size_t control_count);
    void set_control_index(std::size_t index) { control_index_ = index; }
    void on_heartbeat_reply(const pb::heartbeat_reply& reply, clock::time_point now);
    void on_server_report(const pb::server_report& report, clock::time_point now);

    // The group's record when a write may be sent to its primary; null refuses it as not run.
    [[nodiscard]] const pb::group_record* writable_group(std::string_view database,
                                                         clock::time_point now) const;
    // True when the answer to a write of `term` may be passed on as an acknowledgement.
    [[nodiscard]] bool may_acknowledge(std::string_view database, std::uint64_t term,
                                       clock::time_point now) const;

    enum class admission { admitted, rate_limited, key_refused };
    [[nodiscard]] admission admit(std::string_view key, const std::string& organisation,
                                  clock::time_point now);

    [[nodiscard]] const std::string& name() const noexcept { return options_.name; }
    [[nodiscard]] const state_view& view() const noexcept { return view_; }

  private:
    struct known_server {
        pb::server_report report;
        clock::time_point received_at;
    };

    void apply_environment(clock::time_point now);
    [[nodiscard]] limits::contract make_contract(const organisation_settings& organisation) const;

    entry_options options_;
    std::uint64_t incarnation_ = 1;
    std::uint64_t sequence_ = 0;
    std::uint64_t answered_sequence_ = 0;
    clock::time_point last_sent_at_;
    clock::time_point last_reply_at_;
    clock::time_point keys_confirmed_at_;
    bool is_confirmation_due_ = false;
    std::size_t control_index_ = 0;
    lease_holder lease_;
    state_view view_;
    environment environment_;
    std::map<std::string, limits::allowance> allowances_;
    std::map<std::string, known_server> servers_;
};

} // namespace primrosehead::scenario
