#include "routing_refusals.h"

#include <primrosehead/routing.h>

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace primrosehead::routing {

namespace {

// One in this many reads goes to an idle probing or suspect server, to measure it.
constexpr std::uint32_t reads_per_probe = 16;

// A local server with this many outstanding requests per slot is saturated; its load is then
// compared with that of a remote server.
constexpr std::uint32_t saturated_requests_per_slot = 2;

// A remote server is preferred to a saturated local one if its load is below this fraction of the
// local load.
constexpr double remote_load_ratio = 0.5;

// A replica may be chosen this long before it is expected to show a position: a fifth of its lag,
// within these bounds. The estimate is only as accurate as the reports are recent, and a wrong one
// costs a round trip.
constexpr clock::duration min_visibility_margin{20};
constexpr clock::duration max_visibility_margin{100};
constexpr int visibility_margin_divisor = 5;

// Time for which a leaving primary still gets writes while its successor is promoted.
constexpr clock::duration leaving_primary_grace{2'000};

// Writes are refused at once if the primary's last report is older than this.
constexpr clock::duration max_primary_silence{1'000};

// Order of preference among the servers of a group; lower values are preferred.
enum class rank : std::size_t {
    local_known,
    remote_known,
    local_expected,
    remote_expected,
    primary_up,
    local_suspect,
    remote_suspect,
    primary_suspect,
    last_resort,
    unlikely, // replica that is probably behind, used only instead of a refusal
    none,     // cannot serve the request
};

constexpr std::size_t rank_count = static_cast<std::size_t>(rank::none);

constexpr std::array<std::string_view, rank_count> rank_reasons{
    "local_replica",           "remote_replica",           "local_replica_expected",
    "remote_replica_expected", "primary_no_fresh_replica", "local_suspect_replica",
    "remote_suspect_replica",  "suspect_primary",          "last_resort",
    "replica_likely_behind"};

using server_list = boost::container::small_vector<const server_info*, 8>;

bool was_tried(const server_info& server, const read_request& request)
{
    return std::ranges::find(request.tried, server.name) != request.tried.end();
}

bool is_primary(const server_info& server, const read_request& request)
{
    if (request.primary.empty()) {
        return server.role == server_role::primary;
    }
    return server.name == request.primary;
}

// Checks `max_age` against an upper bound on the age of the replica's data: its age when reported
// plus the time since the report.
bool is_within_max_age(const server_info& server, const read_request& request,
                       clock::time_point now)
{
    if (request.max_age == clock::duration::zero()) {
        return true;
    }
    const bool is_replaced_primary =
        server.role == server_role::primary; // its reported age cannot be trusted
    return !is_replaced_primary && server.data_age + (now - server.reported_at) <= request.max_age;
}

// End of the group's log as of the primary's last report.
struct log_head {
    std::uint64_t index = 0;
    clock::time_point reported_at;
};

// Estimates when a replica shows the entry `required`, which is beyond its last report. Assumes
// that the entries between the replica's report and the primary's were written at a constant rate
// and that each is visible `data_age` after it was written. An entry beyond the primary's report is
// assumed to be written right after that report.
clock::time_point expected_visible_at(const server_info& replica, const log_head& head,
                                      std::uint64_t required)
{
    if (required > head.index) {
        return head.reported_at + replica.data_age;
    }
    const clock::duration window = head.reported_at + replica.data_age - replica.reported_at;
    const auto entries = static_cast<double>(head.index - replica.applied.index);
    const auto entries_ahead = static_cast<double>(required - replica.applied.index);
    const double milliseconds = static_cast<double>(window.count()) * entries_ahead / entries;
    return replica.reported_at + clock::duration(static_cast<std::int64_t>(milliseconds));
}

clock::duration visibility_margin(const server_info& replica)
{
    return std::clamp(replica.data_age / visibility_margin_divisor, min_visibility_margin,
                      max_visibility_margin);
}

bool is_expected_fresh(const server_info& server, const read_request& request, const log_head& head,
                       clock::time_point now)
{
    switch (request.freshness) {
    case freshness::known:
        return false;
    case freshness::expected:
        return request.tried.empty() && expected_visible_at(server, head, request.minimum.index) <
                                            now + visibility_margin(server);
    case freshness::optimistic:
        return true;
    }
    return false;
}

rank rank_replica(const server_info& server, const read_request& request, const log_head& head,
                  clock::time_point now)
{
    if (!is_within_max_age(server, request, now)) {
        return rank::none;
    }
    const bool is_known = reaches(server.applied, request.minimum);
    if (!is_known && !is_expected_fresh(server, request, head, now)) {
        return rank::unlikely;
    }
    const bool is_local = server.failure_domain == request.local_domain;
    if (server.health == server_health::probing) {
        return rank::last_resort;
    }
    if (server.health == server_health::suspect) {
        return is_local ? rank::local_suspect : rank::remote_suspect;
    }
    if (is_known) {
        return is_local ? rank::local_known : rank::remote_known;
    }
    return is_local ? rank::local_expected : rank::remote_expected;
}

rank rank_primary(const server_info& server)
{
    switch (server.health) {
    case server_health::up:
        return rank::primary_up;
    case server_health::suspect:
        return rank::primary_suspect;
    default:
        return rank::last_resort;
    }
}

// Returns index 0 if no primary is known, so that every entry counts as newer than its report.
log_head find_head(std::span<const server_info> group, const read_request& request)
{
    for (const server_info& server : group) {
        if (is_primary(server, request)) {
            return {server.applied.index, server.reported_at};
        }
    }
    return {};
}

// Servers that can serve the request, by rank.
using ranking = std::array<server_list, rank_count>;

ranking rank_servers(std::span<const server_info> group, const read_request& request,
                     const policy_settings& policy, clock::time_point now)
{
    ranking ranked;
    const log_head head = find_head(group, request);
    for (const server_info& server : group) {
        if (server.leaving || server.health == server_health::down || was_tried(server, request)) {
            continue;
        }
        const bool primary = is_primary(server, request);
        if (!primary && !policy.replica_reads) {
            continue;
        }
        const rank server_rank =
            primary ? rank_primary(server) : rank_replica(server, request, head, now);
        if (server_rank != rank::none) {
            ranked[static_cast<std::size_t>(server_rank)].push_back(&server);
        }
    }
    return ranked;
}

// Expected response time: outstanding requests per slot times the server's smoothed latency.
double load_of(const server_info& server)
{
    const double latency = static_cast<double>(std::max<std::int64_t>(1, server.latency.count()));
    const double slots = std::max<std::uint32_t>(1, server.slots);
    return (server.outstanding + 1) * latency / slots;
}

std::size_t draw_index(std::size_t count, random_engine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// Power of two random choices (Mitzenmacher, 2001): the less loaded of two servers drawn at random.
const server_info& choose_less_loaded(const server_list& servers, random_engine& random)
{
    if (servers.size() == 1) {
        return *servers.front();
    }
    const std::size_t first = draw_index(servers.size(), random);
    const std::size_t step = 1 + draw_index(servers.size() - 1, random);
    const std::size_t second = (first + step) % servers.size();
    const bool second_is_less_loaded = load_of(*servers[second]) < load_of(*servers[first]);
    return second_is_less_loaded ? *servers[second] : *servers[first];
}

bool is_saturated(const server_info& server)
{
    return server.outstanding >=
           saturated_requests_per_slot * std::max<std::uint32_t>(1, server.slots);
}

// Returns a probing or suspect server without outstanding requests; null if there is none.
const server_info* find_probe_target(const ranking& ranked)
{
    constexpr std::array probed_ranks{rank::last_resort, rank::local_suspect, rank::remote_suspect};
    for (const rank probed : probed_ranks) {
        for (const server_info* server : ranked[static_cast<std::size_t>(probed)]) {
            if (server->outstanding == 0) {
                return server;
            }
        }
    }
    return nullptr;
}

// Chooses uniformly among all replicas known or expected to be fresh, regardless of failure domain
// and load; among the servers of the best rank if there are none.
choice choose_round_robin(const ranking& ranked, std::size_t best, random_engine& random)
{
    server_list all = ranked[best];
    for (std::size_t rank_index = best + 1;
         rank_index <= static_cast<std::size_t>(rank::remote_expected); ++rank_index) {
        all.insert(all.end(), ranked[rank_index].begin(), ranked[rank_index].end());
    }
    return choice{all[draw_index(all.size(), random)]->name, "round_robin"};
}

choice choose_by_rank(const ranking& ranked, std::size_t rank_index, random_engine& random)
{
    const server_info& best = choose_less_loaded(ranked[rank_index], random);
    const bool can_use_remote = rank_index == static_cast<std::size_t>(rank::local_known) ||
                                rank_index == static_cast<std::size_t>(rank::local_expected);
    if (can_use_remote && is_saturated(best) && !ranked[rank_index + 1].empty()) {
        const server_info& remote = choose_less_loaded(ranked[rank_index + 1], random);
        if (load_of(remote) < remote_load_ratio * load_of(best)) {
            return choice{remote.name, "remote_replica_less_loaded"};
        }
    }
    return choice{best.name, rank_reasons[rank_index]};
}

} // namespace

result<choice> choose_read(std::span<const server_info> group, const read_request& request,
                           const policy_settings& policy, clock::time_point now,
                           random_engine& random)
{
    const ranking ranked = rank_servers(group, request, policy, now);
    const auto best =
        std::ranges::find_if(ranked, [](const server_list& servers) { return !servers.empty(); });
    if (best == ranked.end()) {
        return group.empty() ? no_server_announced() : no_eligible_server();
    }
    const auto rank_index = static_cast<std::size_t>(best - ranked.begin());
    if (policy.choice == choice_policy::round_robin) {
        return choose_round_robin(ranked, rank_index, random);
    }
    const server_info* probe = find_probe_target(ranked);
    if (probe != nullptr && draw_index(reads_per_probe, random) == 0) {
        return choice{probe->name, "probe"};
    }
    return choose_by_rank(ranked, rank_index, random);
}

result<choice> choose_write(std::span<const server_info> group, const server_name& primary,
                            clock::time_point now)
{
    if (primary.empty()) {
        return no_primary("The database has no primary: a failover is in progress.");
    }
    const auto found = std::ranges::find(group, primary, &server_info::name);
    if (found == group.end()) {
        return no_primary("The primary has not announced itself to the fleet.");
    }
    if (found->leaving && now - found->leaving_since > leaving_primary_grace) {
        return no_primary("The primary is shutting down and accepts no new writes.");
    }
    if (found->health == server_health::down) {
        return no_primary("The primary is marked as down.");
    }
    if (now - found->reported_at > max_primary_silence) {
        return no_primary(
            "The primary has not reported for more than 1 s: a failover is expected.");
    }
    if (found->health == server_health::probing && found->outstanding > 0) {
        return no_primary("The primary is being probed after a failure.");
    }
    return choice{found->name, "primary"};
}

} // namespace primrosehead::routing
