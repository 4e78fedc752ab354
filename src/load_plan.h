// The plan of a load run.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::load {

struct entry_plan {
    std::string url;
    double weight = 1; // share of requests, as an uneven balancer gives it
};

struct organisation_plan {
    std::string name;
    std::string key;
    double rate = 0;      // contract
    double burst = 0;     // contract
    double send_rate = 0; // operations a second
    std::uint32_t sessions = 8;
    std::uint32_t batch = 1; // operations that start at once
    bool outsider = false;   // may not use the databases' foreign routes, and tries to
};

struct database_plan {
    std::string name;
    std::string read_route;
    std::string write_route;
    std::string stale_route;   // empty: read_route
    std::string foreign_route; // of another organisation; empty: none
};

// Shares of the operations; they need not add up to one.
struct operation_shares {
    double write = 0.2;
    double read = 0.4;
    double stale_read = 0.1;
    double scan = 0.1;
    double transaction = 0.1;
    double add = 0.08;
    double rollback = 0.01;
    double wrong_key = 0.01;
};

// One step of the timeline: a post to a control port, or a signal to a process.
struct fault_plan {
    clock::duration at{0};
    std::string url;
    std::string body;
    int pid = 0;
    std::string signal; // KILL, STOP or CONT
};

struct run_plan {
    clock::duration duration{10'000};
    clock::duration replica_lag{0}; // of the servers, to tell which reads replicas could serve
    std::vector<entry_plan> entries;
    std::vector<organisation_plan> organisations;
    std::vector<database_plan> databases;
    operation_shares shares;
    std::vector<fault_plan> faults;
    std::uint32_t keys = 20; // written and read, a database
    clock::duration timeout{1'000};
    clock::duration max_age{1'000};
    bool direct = false; // entries are stand-ins: measures a plain read of each
};

// Reads a plan's JSON text; the error names the JSON path and what was expected.
[[nodiscard]] result<run_plan> parse_plan(std::string_view text);

} // namespace primrosehead::load
