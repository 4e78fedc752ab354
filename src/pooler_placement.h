// Chooses the server and connection for an operation. Pure.
//
// Load that this answers: connections are few (some twenty a server for all instances) and belong
// to one organisation each, a new one costs a server half of a statement's time, and servers differ
// in speed while one is slow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace primrosehead::pooler {

// A server that may run the operation, as this instance sees it.
struct placement_server {
    std::size_t index = 0;           // the caller's
    bool is_local = false;           // in the own failure domain
    bool is_reserved = false;        // the primary, for an operation that replicas can run as well
    std::uint32_t slots = 1;         // statements that it runs at once
    std::uint32_t idle_matching = 0; // connections of the organisation, in the session's state
    std::uint32_t idle_needs_setup = 0;        // other connections of the organisation
    std::uint32_t idle_other_organisation = 0; // connections of other organisations
    std::uint32_t open = 0;                    // all connections, those being opened included
    std::uint32_t limit = 0;                   // of `open`
    std::uint32_t running = 0;                 // statements of this instance
    std::uint32_t running_limit = 0;           // of `running`
    double latency_ms = 0;                     // of recent statements
    bool may_open = true; // false: opening would take slots that statements wait for
};

enum class connection_choice {
    matching,     // idle, in the session's state
    needs_setup,  // idle, to be brought into the session's state
    open_new,     // new
    replace_idle, // new, in place of an idle one of another organisation
};

struct placement {
    std::size_t index = 0;
    connection_choice choice = connection_choice::matching;
};

// None: every server is at its limits, wait.
[[nodiscard]] std::optional<placement> choose_placement(std::span<const placement_server> servers);

// What a statement is expected to take at a server, in milliseconds.
[[nodiscard]] double expected_ms(const placement_server& server, connection_choice choice);

} // namespace primrosehead::pooler
