// The environment document, which operators write, deploy to trial and promote to production.
//
// docs/CONFIG.md describes its JSON. A document is validated completely before it is stored.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace primrosehead {

enum class access { read, write };

// When a write is acknowledged: after a replica has stored it too, or after the primary alone has.
enum class durability { replica, primary };

struct database_settings {
    database_name name;
    enum durability durability = durability::replica;
};

// A named route that callers may request.
struct route_settings {
    route_name name;
    database_name database;
    enum access access = access::read;
    bool open = false;       // served without an API key
    bool repeatable = false; // idempotent: may be retried even if an earlier attempt may have run
    clock::duration max_age{0};
    clock::duration timeout{2'000};
    std::vector<organisation_name> organisations; // empty: every organisation with an API key
};

// An organisation's contract. Rate and burst apply to the whole fleet together.
struct organisation_settings {
    organisation_name name;
    double rate = 0;          // requests per second
    double burst = 0;         // requests admitted at once
    std::uint32_t weight = 1; // share of a server's slots under contention
};

enum class limit_policy { leased, static_split };
enum class choice_policy { two_choices, round_robin };

// Policies of the fleet. docs/MEASURES.md has the measurements behind the defaults.
struct policy_settings {
    clock::duration key_bound{5'000}; // keyed routes are refused if the key table is older
    limit_policy limits = limit_policy::leased;
    double floor_share = 0.2; // share of a rate that is split evenly, without grants
    choice_policy choice = choice_policy::two_choices;
    bool replica_reads = true;
    double retry_share = 0.1;           // retries allowed per first attempt
    clock::duration failure_after{400}; // a primary is replaced after this time without contact
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

// Parses and validates a document. The error is `error_kind::bad_settings` and names the JSON path,
// the expected value and a remedy.
[[nodiscard]] result<environment> parse_environment(std::string_view document);

} // namespace primrosehead
