// Selects the server for a request. Pure: candidates, requirements, time and randomness are passed
// in.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/directory.h>
#include <primrosehead/environment.h>
#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <random>
#include <span>
#include <string_view>

namespace primrosehead::routing {

using random_engine = std::minstd_rand;

// Condition under which a replica is taken to have reached a session's position. The server always
// checks `minimum` and answers `behind` without running the read, so a wrong estimate costs only a
// round trip.
enum class freshness {
    known,      // its last report reaches the position
    expected,   // also if its lag and the primary's last report indicate that it has reached the
                // position by now; on the first attempt of a request only, then as `known`
    optimistic, // any replica
};

struct read_request {
    log_position minimum;       // the session's position, in the current history
    clock::duration max_age{0}; // bound on the age of the data; 0: only `minimum` applies
    failure_domain_name local_domain;
    std::span<const server_name> tried; // excluded from the choice
    server_name primary;                // of the current term; if empty, the reported roles decide
    enum freshness freshness = freshness::expected;
};

// The choice and its reason, for the decision log.
struct choice {
    server_name server;
    std::string_view reason; // static text: "local_replica", "remote_replica", "primary", ...
};

// Chooses a server for a read: a sufficiently fresh replica, in the local failure domain if
// possible, otherwise the primary. Fails with `error_kind::no_replica` if no server can serve the
// read. A probing server gets a small share of the reads, one at a time.
[[nodiscard]] result<choice> choose_read(std::span<const server_info> group,
                                         const read_request& request, const policy_settings& policy,
                                         clock::time_point now, random_engine& random);

// Chooses the primary of the current term. Fails with `error_kind::no_primary` and a retry time if
// there is none or it takes no writes.
[[nodiscard]] result<choice> choose_write(std::span<const server_info> group,
                                          const server_name& primary, clock::time_point now);

} // namespace primrosehead::routing
