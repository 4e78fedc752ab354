// The environment document: what operators write, try in trial and promote to production.
//
// docs/CONFIG.md describes its JSON. A document is checked whole before it is stored.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace primrosehead {

enum class access { read, write };

// When a write is acknowledged: once a replica has it too, or at the primary alone.
enum class durability { replica, primary };

struct database_settings {
    database_name name;
    enum durability durability = durability::replica;
};

// What callers may ask for by name.
struct route_settings {
    route_name name;
    database_name database;
    enum access access = access::read;
    bool open = false;       // served without a key
    bool repeatable = false; // may be sent again though it may have run
    clock::duration max_age{0};
    clock::duration timeout{2'000};
    std::vector<organisation_name> organisations; // empty: every organisation with a key
};

// An organisation's contract: its rate and burst count over the whole fleet.
struct organisation_settings {
    organisation_name name;
    double rate = 0;          // requests a second
    double burst = 0;         // requests at once
    std::uint32_t weight = 1; // share of a server's slots under contention
};

enum class limit_policy { leased, static_split };
enum class choice_policy { two_choices, round_robin };

// How the fleet decides. The defaults are what docs/MEASURES.md speaks for.
struct policy_settings {
    clock::duration key_bound{5'000}; // keyed routes stop when keys aren't confirmed for so long
    limit_policy limits = limit_policy::leased;
    double floor_share = 0.2; // part of a rate that is split evenly, without grants
    choice_policy choice = choice_policy::two_choices;
    bool replica_reads = true;
    double retry_share = 0.1;           // retries allowed a first try
    clock::duration failure_after{400}; // silence of a primary before it is replaced
};

struct environment {
    std::vector<database_settings> databases;
    std::vector<route_settings> routes;
    std::vector<organisation_settings> organisations;
    policy_settings policies;

    [[nodiscard]] const route_settings* find(const route_name& name) const noexcept;
    [[nodiscard]] const database_settings* find(const database_name& name) const noexcept;
    [[nodiscard]] const organisation_settings* find(const organisation_name& name) const noexcept;
};

// Reads and checks a document. The error names the JSON path, what was expected and the remedy.
[[nodiscard]] result<environment> parse_environment(std::string_view document);

} // namespace primrosehead
