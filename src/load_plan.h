// Configuration of a load run: entries, organisations, databases, operation mix and faults.
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
    double weight = 1; // relative share of requests, to model an uneven load balancer
};

struct organisation_plan {
    std::string name;
    std::string key;
    double rate = 0;      // of the contract, requests per second
    double burst = 0;     // of the contract, requests
    double send_rate = 0; // operations per second
    std::uint32_t sessions = 8;
    std::uint32_t batch = 1; // operations that arrive together
    bool outsider = false;   // sends requests to the foreign routes, which must be refused
};

struct database_plan {
    std::string name;
    std::string read_route;
    std::string write_route;
    std::string stale_route;   // defaults to read_route
    std::string foreign_route; // route of another organisation; empty if none
};

// Relative shares of the kinds of operation. They need not add up to 1.
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

// A fault injected at a time of the run: a POST to a control port, or a signal to a process.
struct fault_plan {
    clock::duration at{0};
    std::string url;
    std::string body;
    int pid = 0;
    std::string signal; // KILL, STOP or CONT
};

struct run_plan {
    clock::duration duration{10'000};
    clock::duration replica_lag{0}; // of the servers; determines which reads replicas could serve
    std::vector<entry_plan> entries;
    std::vector<organisation_plan> organisations;
    std::vector<database_plan> databases;
    operation_shares shares;
    std::vector<fault_plan> faults;
    std::uint32_t keys = 20; // written and read in each database
    clock::duration timeout{1'000};
    clock::duration max_age{1'000};
    bool direct = false; // entries are stand-in servers, which are sent plain reads only
};

// Parses the JSON text of a plan. The error names the JSON path and the expected value.
[[nodiscard]] result<run_plan> parse_plan(std::string_view text);

} // namespace primrosehead::load
