#include "pooler_placement.h"

namespace primrosehead::pooler {

namespace {

// Measured cost of a connection at the servers, plus the round trips of opening it.
constexpr double opening_ms = 15;
// Replacing a connection makes the organisation that loses it open another one soon.
constexpr double replacing_ms = 2 * opening_ms;
// Another failure domain costs a longer way and bytes between domains.
constexpr double remote_ms = 3;
// Only the primary runs writes: its connections and slots are worth more than a replica's.
constexpr double reserved_ms = 12;
// Values set and statements prepared anew travel with the statement.
constexpr double state_ms = 0.2;

std::optional<connection_choice> best_choice(const placement_server& server)
{
    if (server.running >= server.running_limit) {
        return std::nullopt;
    }
    if (server.idle_matching > 0) {
        return connection_choice::matching;
    }
    if (server.idle_own > 0) {
        return connection_choice::own;
    }
    if (!server.may_open) {
        return std::nullopt;
    }
    if (server.open < server.limit) {
        return connection_choice::opened;
    }
    if (server.idle_foreign > 0) {
        return connection_choice::replaced;
    }
    return std::nullopt;
}

} // namespace

double expected_ms(const placement_server& server, connection_choice how)
{
    const double waiting = static_cast<double>(server.running) / server.slots;
    double cost = server.latency_ms * (1 + waiting) + (server.is_local ? 0 : remote_ms);
    if (server.is_reserved) {
        cost += reserved_ms;
    }
    if (how == connection_choice::own) {
        cost += state_ms;
    }
    if (how == connection_choice::opened) {
        cost += opening_ms;
    }
    if (how == connection_choice::replaced) {
        cost += replacing_ms;
    }
    return cost;
}

std::optional<placement> place(std::span<const placement_server> servers)
{
    std::optional<placement> best;
    double best_ms = 0;
    for (const placement_server& server : servers) {
        const std::optional<connection_choice> how = best_choice(server);
        if (!how) {
            continue;
        }
        const double cost = expected_ms(server, *how);
        if (!best || cost < best_ms) {
            best = placement{server.index, *how};
            best_ms = cost;
        }
    }
    return best;
}

} // namespace primrosehead::pooler
