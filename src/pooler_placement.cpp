#include "pooler_placement.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

// Cost of a connection at the servers, plus the round trips of opening it.
constexpr double open_cost_ms = 15;
// The organisation that loses the connection soon opens another one.
constexpr double replace_cost_ms = 2 * open_cost_ms;
// Another failure domain adds latency and traffic between domains.
constexpr double remote_cost_ms = 3;
// Only the primary runs writes, so its connections and slots are scarcer than a replica's.
constexpr double primary_read_cost_ms = 12;
// Setup queries are sent in the same round trip as the statement.
constexpr double setup_cost_ms = 0.2;
// Connections that an instance may open above its fair share while others need fewer.
constexpr std::uint32_t connections_above_fair_share = 1;

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

connection_budget divide_connections(std::uint32_t connections, std::uint32_t instances) noexcept
{
    const std::uint32_t fair_share = connections / std::max(1U, instances);
    return {fair_share, std::max(1U, fair_share) + connections_above_fair_share};
}

double placement_cost_ms(const placement_server& server, connection_choice choice)
{
    const double waiting = static_cast<double>(server.running) / server.slots;
    double cost = server.latency_ms * (1 + waiting) + (server.is_local ? 0 : remote_cost_ms);
    if (server.avoid_as_primary) {
        cost += primary_read_cost_ms;
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
        const double cost = placement_cost_ms(server, *choice);
        if (!best || cost < best_ms) {
            best = placement{server.index, *choice};
            best_ms = cost;
        }
    }
    return best;
}

} // namespace primrosehead::pooler
