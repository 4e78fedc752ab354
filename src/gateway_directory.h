// The backend servers, the entry instances and the owners of each server, as this instance knows
// them.
//
// Readers use a snapshot published by read-copy-update. Writers are serialised by a mutex and
// replace the snapshot when a server or an instance is added or removed.
#pragma once

#include "gateway_context.h"
#include "gateway_peer.h"
#include "gateway_server.h"

#include <primrosehead/rcu.h>

#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace primrosehead {

// An instance that may run requests on a server. A null pointer denotes this instance.
using gateway_owner = std::shared_ptr<gateway_peer>;

// A server and the instances that may run its requests, in order of preference: the owner first.
struct server_route {
    std::shared_ptr<gateway_server> server;
    std::vector<gateway_owner> owners;
};

class gateway_directory {
  public:
    explicit gateway_directory(std::shared_ptr<gateway_context> context);

    void apply_report(const pb::server_report& report, clock::time_point now);
    void remove_stale_servers(clock::duration limit, clock::time_point now);
    void set_instances(std::span<const instance_address> live);

    // Returns an empty route when the server is unknown.
    [[nodiscard]] server_route find(const server_name& server) const;

    // Returns null when the instance is unknown. Departed instances stay in the directory for a
    // while, as they may still hold transactions.
    [[nodiscard]] std::shared_ptr<gateway_peer> find(const instance_name& instance) const;

    [[nodiscard]] std::vector<server_info> group(const database_name& database) const;
    [[nodiscard]] std::vector<pb::server_report> recent_announcements(clock::time_point since,
                                                                      clock::time_point now) const;

    // Checks the health of every server and instance.
    void check(clock::time_point now) const;

  private:
    using server_list = std::vector<std::shared_ptr<gateway_server>>;

    struct snapshot {
        std::unordered_map<server_name, server_route> servers;
        std::unordered_map<database_name, server_list> groups;
        std::unordered_map<instance_name, std::shared_ptr<gateway_peer>> peers;
        std::vector<instance_address> live;
    };

    [[nodiscard]] std::unique_ptr<snapshot> copy() const;
    void publish(std::unique_ptr<snapshot> next);
    void prune_departed_peers(snapshot& view) const;
    [[nodiscard]] std::vector<gateway_owner> rank_owners(const gateway_server& server,
                                                         const snapshot& view) const;

    std::shared_ptr<gateway_context> context_;
    std::mutex writer_;
    rcu_cell<snapshot> snapshot_;
};

} // namespace primrosehead
