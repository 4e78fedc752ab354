// Which server a request goes to. Pure: candidates, requirements, time and randomness go in.
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

// What counts as a replica that has reached a session's position. The server checks `minimum` in
// any case and answers `behind` without running, so that a wrong guess costs a round trip only.
enum class freshness {
    known,      // its last report reaches the position
    expected,   // its lag and the primary's last report say that it shows the position by now;
                // guessed once a request, after a first try only `known` counts
    optimistic, // any replica
};

struct read_request {
    log_position minimum;       // of the session, kept in the present history
    clock::duration max_age{0}; // 0: no bound but the session's
    failure_domain_name local_domain;
    std::span<const server_name> tried; // not to be chosen again
    server_name primary;                // of the present term; empty: believe the reports
    enum freshness freshness = freshness::expected;
};

// The choice and its reason, for the decision log.
struct choice {
    server_name server;
    std::string_view reason; // static text: "local_replica", "remote_replica", "primary", ...
};

// Chooses a server for a read: a replica that is fresh enough, of the own failure domain first; the
// primary when none is; `error_kind::no_replica` at once when nothing can serve it. A server under
// probe gets a small share of the reads, one at a time.
[[nodiscard]] result<choice> choose_read(std::span<const server_info> group,
                                         const read_request& request, const policy_settings& policy,
                                         clock::time_point now, random_engine& random);

// The primary of the present term; `error_kind::no_primary` with when to come back otherwise.
[[nodiscard]] result<choice> choose_write(std::span<const server_info> group,
                                          const server_name& primary, clock::time_point now);

} // namespace primrosehead::routing
