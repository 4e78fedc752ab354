// Backend servers and entry instances known to an entry instance: immutable snapshots, published by
// read-copy-update and read on every request.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <string>
#include <vector>

namespace primrosehead {

enum class server_role { primary, replica };

// Health of a server; health.h has the state machine.
enum class server_health { up, suspect, down, probing };

struct server_info {
    server_name name;
    database_name database;
    failure_domain_name failure_domain;
    std::string url;
    server_role role = server_role::replica;
    log_position applied;          // lower bound on what reads see
    clock::duration data_age{0};   // age of the data visible to reads, when reported
    clock::time_point reported_at; // on this process's clock
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
    bool leaving = false;
    server_health health = server_health::up;
    std::uint32_t outstanding = 0;   // requests of this instance without an answer
    clock::duration latency{0};      // exponentially smoothed
    clock::time_point leaving_since; // when `leaving` was first reported
};

// Address of a live entry instance.
struct instance_address {
    instance_name name;
    failure_domain_name failure_domain;
    std::string endpoint; // of its message bus
};

} // namespace primrosehead
