#include "pooler_placement.h"

namespace primrosehead::pooler {

namespace {

// Measured cost of a connection at the servers, plus the round trips of opening it.
constexpr double open_cost_ms = 15;
// Replacing a connection makes the organisation that loses it open another one soon.
constexpr double replace_cost_ms = 2 * open_cost_ms;
// Another failure domain costs a longer way and bytes between domains.
constexpr double remote_cost_ms = 3;
// Only the primary runs writes: its connections and slots are worth more than a replica's.
constexpr double reserved_cost_ms = 12;
// Values set and statements prepared anew travel with the statement.
constexpr double setup_cost_ms = 0.2;

std::optional<connection_choice> best_choice(const placement_server& server)
{
    if (server.running >= server.running_limit) {
        return std::nullopt;
    }
    if (server.idle_matching > 0) {
        return connection_choice::matching;
    }
    if (server.idle_needs_setup > 0) {
        return connection_choice::needs_setup;
    }
    if (!server.may_open) {
        return std::nullopt;
    }
    if (server.open < server.limit) {
        return connection_choice::open_new;
    }
    if (server.idle_other_organisation > 0) {
        return connection_choice::replace_idle;
    }
    return std::nullopt;
}

} // namespace

double expected_ms(const placement_server& server, connection_choice choice)
{
    const double waiting = static_cast<double>(server.running) / server.slots;
    double cost = server.latency_ms * (1 + waiting) + (server.is_local ? 0 : remote_cost_ms);
    if (server.is_reserved) {
        cost += reserved_cost_ms;
    }
    if (choice == connection_choice::needs_setup) {
        cost += setup_cost_ms;
    }
    if (choice == connection_choice::open_new) {
        cost += open_cost_ms;
    }
    if (choice == connection_choice::replace_idle) {
        cost += replace_cost_ms;
    }
    return cost;
}

std::optional<placement> choose_placement(std::span<const placement_server> servers)
{
    std::optional<placement> best;
    double best_ms = 0;
    for (const placement_server& server : servers) {
        const std::optional<connection_choice> choice = best_choice(server);
        if (!choice) {
            continue;
        }
        const double cost = expected_ms(server, *choice);
        if (!best || cost < best_ms) {
            best = placement{server.index, *choice};
            best_ms = cost;
        }
    }
    return best;
}

} // namespace primrosehead::pooler
