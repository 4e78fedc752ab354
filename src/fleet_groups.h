// The database groups of the environment: their failovers, and the orders to replicas to follow the
// primary.
#pragma once

#include "fleet_index.h"
#include "fleet_servers.h"

#include <primrosehead/environment.h>
#include <primrosehead/failover.h>
#include <primrosehead/fleet.h>
#include <primrosehead/lease.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::fleet {

class group_table {
  public:
    explicit group_table(const service_settings& settings) : settings_(settings) {}

    // Adds and removes planners to match the databases of the environment.
    void configure(const environment& target, server_table& servers, clock::time_point now);

    // Returns null for a database that is not in the environment.
    [[nodiscard]] failover::planner* find(std::string_view database);

    // Passes a report accepted by `server_table` to the planner of its group.
    void on_report(const server_entry& server);

    // Appends the actions that are due to `actions`.
    void advance(const state_machine& state, const state_index& index, const lease_table& leases,
                 server_table& servers, clock::time_point now, std::vector<action>& actions);

    [[nodiscard]] std::map<std::string, std::string_view> phases() const;

  private:
    struct entry {
        failover::planner planner;
        clock::time_point next_check_at;
    };

    void advance_group(const std::string& database, entry& group_entry, const state_index& index,
                       const lease_table& leases, clock::time_point now,
                       std::vector<action>& actions) const;

    service_settings settings_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace primrosehead::fleet
