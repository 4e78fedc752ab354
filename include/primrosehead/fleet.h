// The control leader's view of the entry instances: heartbeats in, leases, grants, state deltas and
// the directory of backend servers out; failovers on the way. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/environment.h>
#include <primrosehead/failover.h>
#include <primrosehead/names.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace primrosehead::fleet {

// Each is on but in tests that show what it is for.
struct safeguards {
    bool wait_for_leases = true;  // before a promotion
    bool choose_highest = true;   // member of those fenced
    bool count_old_grants = true; // of the leader before
};

struct service_settings {
    cell_name cell;
    std::string environment; // whose production document counts
    clock::duration write_lease{500};
    clock::duration grant{1'000};
    clock::duration instance_timeout{2'000}; // silent for so long: not among the live ones
    std::uint32_t group_size = 3;            // servers of a database group
    safeguards enabled;
};

// To be committed through consensus.
struct propose {
    pb::command command;
};
// To be sent to a backend server (docs/BACKEND.md, orders). The answer comes back by `on_answered`.
struct order_server {
    std::string database;
    failover::order order; // fence_server or promote_server
};
// A replica is to follow the primary of the term. Its answer comes back by `on_followed`.
struct follow_server {
    std::string database;
    std::string server;
    std::string url;
    pb::group_record group;
};
// The state changed: send each live instance what `make_push` makes for it.
struct push_state {};

using action = std::variant<propose, order_server, follow_server, push_state>;

// Exists while its control instance is the leader; a new leader starts a new one.
class service {
  public:
    service(service_settings settings, clock::time_point elected_at);
    ~service();
    service(service&&) noexcept;
    service& operator=(service&&) noexcept;
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    // Answers one heartbeat. Registers an instance that the state does not know (by a `propose`
    // from the next `advance`). A heartbeat that comes late or twice is answered with sequence 0,
    // which renews nothing. The caller fills in `control_term`.
    //
    // The answer holds the state's changes since the version that the instance has, none when it
    // has the present one; the servers reported since the last answer that it took in, all at
    // first; and always every live instance.
    [[nodiscard]] pb::heartbeat_reply
    handle_heartbeat(const pb::heartbeat& beat, const state_machine& state, clock::time_point now);

    // The unasked message that brings `instance` to the present state.
    [[nodiscard]] pb::heartbeat_reply make_push(std::string_view instance,
                                                const state_machine& state) const;

    // What has become due. Call every 10 ms or so and after every answer.
    [[nodiscard]] std::vector<action> advance(const state_machine& state, clock::time_point now);

    // A backend server's answer to an order: the position received, or the promoted term's start.
    void on_fenced(std::string_view database, std::string_view server, std::uint64_t term,
                   log_position received);
    void on_promoted(std::string_view database, std::string_view server, std::uint64_t term,
                     std::uint64_t start_index);
    void on_refused(std::string_view database, std::string_view server, std::uint64_t seen_term);
    void on_followed(std::string_view server, std::uint64_t term);

    // An operator asks for a planned change of primary.
    void request_switchover(std::string_view database);

    // Live instances, the version each confirmed, servers, phases of failover: JSON for `status`.
    [[nodiscard]] std::string describe(const state_machine& state, clock::time_point now) const;

    [[nodiscard]] std::vector<std::string> live_instances(clock::time_point now) const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::fleet
