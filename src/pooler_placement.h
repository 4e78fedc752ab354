// Chooses the server and the connection for an operation. Pure.
//
// Connections are scarce (about twenty per server for all instances), each belongs to one
// organisation, opening one takes the server about half as long as a typical statement, and a
// server can temporarily be much slower than the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace primrosehead::pooler {

// A server that may run the operation, as this instance sees it.
struct placement_server {
    std::size_t index = 0;           // returned in the placement
    bool is_local = false;           // in this instance's failure domain
    bool avoid_as_primary = false;   // the primary, for an operation that replicas can also run
    std::uint32_t slots = 1;         // statements that it runs concurrently
    std::uint32_t idle_matching = 0; // idle connections of the organisation in the session's state
    std::uint32_t idle_needs_setup = 0;        // other idle connections of the organisation
    std::uint32_t idle_other_organisation = 0; // idle connections of other organisations
    std::uint32_t open = 0;                    // all connections, including those being opened
    std::uint32_t limit = 0;                   // limit of `open`
    std::uint32_t running = 0;                 // statements of this instance in progress
    std::uint32_t running_limit = 0;           // limit of `running`
    double latency_ms = 0;                     // expected latency of a statement, from recent ones
    // False while the server is overloaded and this instance opened a connection to it recently:
    // opening another one would take slots from queued statements.
    bool may_open = true;
};

enum class connection_choice {
    matching,     // idle, in the session's state
    needs_setup,  // idle, needs the session's values set, or its statement prepared, first
    open_new,     // no idle one is suitable
    replace_idle, // replaces an idle one of another organisation
};

// One instance's part of a server's connections.
struct connection_budget {
    std::uint32_t kept = 0;  // may stay idle for long
    std::uint32_t limit = 0; // may be open at a time
};

// Divides a server's connections over the instances. In a fleet of more instances than connections
// none is kept: an instance rarely runs two operations of one organisation in a row at a server,
// and a connection that it kept would be missing elsewhere.
[[nodiscard]] connection_budget divide_connections(std::uint32_t connections,
                                                   std::uint32_t instances) noexcept;

struct placement {
    std::size_t index = 0;
    connection_choice choice = connection_choice::matching;
};

// Returns `std::nullopt` when no server can take the operation now; it then has to wait.
[[nodiscard]] std::optional<placement> choose_placement(std::span<const placement_server> servers);

// Returns the cost of running the operation at a server: the expected duration in milliseconds plus
// penalties, such as for a new connection, another failure domain or a primary to be avoided.
[[nodiscard]] double placement_cost_ms(const placement_server& server, connection_choice choice);

} // namespace primrosehead::pooler
