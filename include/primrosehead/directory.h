// Backend servers as an entry instance knows them: an immutable snapshot, published by
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

// How far a server is trusted with work. docs/DESIGN.md has the state machine.
enum class server_health { up, suspect, down, probing };

struct server_info {
    server_name name;
    database_name database;
    failure_domain_name failure_domain;
    std::string url;
    server_role role = server_role::replica;
    log_position applied;          // at least this is visible to reads
    clock::duration data_age{0};   // age of the data it shows, when reported
    clock::time_point reported_at; // by this process's clock
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
    bool leaving = false;
    server_health health = server_health::up;
    std::uint32_t outstanding = 0;   // requests under way from this instance
    clock::duration latency{0};      // smoothed
    clock::time_point leaving_since; // when `leaving` was first heard
};

// A live entry instance as others reach it.
struct instance_address {
    instance_name name;
    failure_domain_name failure_domain;
    std::string endpoint; // of its bus
};

} // namespace primrosehead
