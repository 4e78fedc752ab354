// The control leader's service for the entry instances: answers heartbeats with leases, grants,
// state deltas and the directory of backend servers, and runs the failovers. Pure.
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

// Safety rules of the service. Tests disable single ones to show which fault each prevents.
struct safeguards {
    bool wait_for_leases = true;  // a promotion waits until no lease on an older state is valid
    bool choose_highest = true;   // promote the fenced member with the highest position
    bool count_old_grants = true; // count grants of the previous leader as outstanding
};

struct service_settings {
    cell_name cell;
    std::string environment; // its production document is in effect
    clock::duration write_lease{500};
    clock::duration grant{1'000};
    clock::duration instance_timeout{2'000}; // time without heartbeats until not live
    std::uint32_t group_size = 3;            // servers in a database group
    safeguards enabled;
};

// Commit the command through consensus.
struct propose {
    pb::command command;
};
// Send the order to the backend server (docs/BACKEND.md, orders). The answer is passed to
// `on_fenced`, `on_promoted` or `on_refused`.
struct order_server {
    std::string database;
    failover::order order; // fence_server or promote_server
};
// Order a replica to follow the primary of the term. Its answer is passed to `on_followed`.
struct follow_server {
    std::string database;
    std::string server;
    std::string url;
    pb::group_record group;
};
// The state changed: send each live instance the result of `make_push`.
struct push_state {};

using action = std::variant<propose, order_server, follow_server, push_state>;

// Exists while its control instance is the leader. A new leader creates a new one.
class service {
  public:
    service(service_settings settings, clock::time_point elected_at);
    ~service();
    service(service&&) noexcept;
    service& operator=(service&&) noexcept;
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    // Answers one heartbeat. An instance missing from the state is registered by a `propose` from
    // the next `advance`. An out-of-order or duplicate heartbeat is answered with sequence 0, which
    // renews nothing. The caller sets `control_term`.
    //
    // The answer contains the state changes since the instance's version, if any; the servers
    // reported since the last answer that the instance confirmed, initially all; and every live
    // instance.
    [[nodiscard]] pb::heartbeat_reply handle_heartbeat(const pb::heartbeat& heartbeat,
                                                       const state_machine& state,
                                                       clock::time_point now);

    // Makes the unsolicited message that updates `instance` to the current state.
    [[nodiscard]] pb::heartbeat_reply make_push(std::string_view instance,
                                                const state_machine& state) const;

    // Returns the actions that are due. Call about every 10 ms and after every answer.
    [[nodiscard]] std::vector<action> advance(const state_machine& state, clock::time_point now);

    // Answers of backend servers to orders: `received` is the last position of a fenced server,
    // `start_index` the first index of the promoted term, `seen_term` the term reported in a
    // refusal.
    void on_fenced(std::string_view database, std::string_view server, std::uint64_t term,
                   log_position received);
    void on_promoted(std::string_view database, std::string_view server, std::uint64_t term,
                     std::uint64_t start_index);
    void on_refused(std::string_view database, std::string_view server, std::uint64_t seen_term);
    void on_followed(std::string_view server, std::uint64_t term);

    // Requests a planned change of primary.
    void request_switchover(std::string_view database);

    // Returns JSON for `status`: live instances with their state versions, servers, and the
    // failover phase of each group.
    [[nodiscard]] std::string describe(const state_machine& state, clock::time_point now) const;

    [[nodiscard]] std::vector<std::string> live_instances(clock::time_point now) const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::fleet
