#include "routing_refusals.h"

#include <primrosehead/routing.h>

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

namespace primrosehead::routing {

namespace {

// One read in so many tries a server under probe, or measures a suspect one again.
constexpr std::uint32_t reads_per_probe = 16;

// A server with so many requests a slot under way is saturated: others are compared with it.
constexpr std::uint32_t saturated_requests_per_slot = 2;

// A remote server takes over from a saturated local one when its load is below this share of it.
constexpr double remote_load_ratio = 0.5;

// A replica is tried so much before it is expected to show a position: a fifth of its lag, within
// these bounds. The expectation is as rough as reports are old; a wrong guess costs a round trip.
constexpr clock::duration min_visibility_margin{20};
constexpr clock::duration max_visibility_margin{100};
constexpr int visibility_margin_divisor = 5;

// How long a leaving primary still takes writes while its successor is being promoted.
constexpr clock::duration leaving_primary_grace{2'000};
constexpr clock::duration max_primary_silence{1'000}; // then writes are refused at once

// Order of preference among the servers of a group. Lower values go first.
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
    unlikely, // a replica that is most likely behind: better than a refusal
    none,     // can't serve the request
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

// An upper bound of the age of what the server shows now; replicas only get fresher than this.
bool is_within_max_age(const server_info& server, const read_request& request,
                       clock::time_point now)
{
    if (request.max_age == clock::duration::zero()) {
        return true;
    }
    const bool is_replaced_primary =
        server.role == server_role::primary; // claims an age that can't be trusted
    return !is_replaced_primary && server.data_age + (now - server.reported_at) <= request.max_age;
}

// Where the group's log stood when its primary last reported.
struct log_head {
    std::uint64_t index = 0;
    clock::time_point reported_at;
};

// When a replica shows the entry `required`, which its last report lacked. Between what the replica
// showed and what the primary had, entries are taken as written at an even pace, each visible
// `data_age` after it was written. An entry newer than the primary's report is taken as written
// right after that report.
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
    const bool known = reaches(server.applied, request.minimum);
    if (!known && !is_expected_fresh(server, request, head, now)) {
        return rank::unlikely;
    }
    const bool local = server.failure_domain == request.local_domain;
    if (server.health == server_health::probing) {
        return rank::last_resort;
    }
    if (server.health == server_health::suspect) {
        return local ? rank::local_suspect : rank::remote_suspect;
    }
    if (known) {
        return local ? rank::local_known : rank::remote_known;
    }
    return local ? rank::local_expected : rank::remote_expected;
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

// Without a primary the head is unknown: nothing is newer than its report.
log_head find_head(std::span<const server_info> group, const read_request& request)
{
    for (const server_info& server : group) {
        if (is_primary(server, request)) {
            return {server.applied.index, server.reported_at};
        }
    }
    return {};
}

// Servers that may serve the request, by rank.
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
        const rank place =
            primary ? rank_primary(server) : rank_replica(server, request, head, now);
        if (place != rank::none) {
            ranked[static_cast<std::size_t>(place)].push_back(&server);
        }
    }
    return ranked;
}

// Expected time to an answer: what is under way a slot, at the server's smoothed latency.
double load_of(const server_info& server)
{
    const double latency = static_cast<double>(std::max<std::int64_t>(1, server.latency.count()));
    const double slots = std::max<std::uint32_t>(1, server.slots);
    return (server.outstanding + 1) * latency / slots;
}

std::size_t random_index(std::size_t count, random_engine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// The power of two random choices (Mitzenmacher, 2001): the less loaded of two drawn servers.
const server_info& choose_less_loaded(const server_list& servers, random_engine& random)
{
    if (servers.size() == 1) {
        return *servers.front();
    }
    const std::size_t first = random_index(servers.size(), random);
    const std::size_t step = 1 + random_index(servers.size() - 1, random);
    const std::size_t second = (first + step) % servers.size();
    const bool second_is_less_loaded = load_of(*servers[second]) < load_of(*servers[first]);
    return second_is_less_loaded ? *servers[second] : *servers[first];
}

bool is_saturated(const server_info& server)
{
    return server.outstanding >=
           saturated_requests_per_slot * std::max<std::uint32_t>(1, server.slots);
}

// A server that needs a measurement and has none under way.
const server_info* find_probe_target(const ranking& ranked)
{
    constexpr std::array probed_ranks{rank::last_resort, rank::local_suspect, rank::remote_suspect};
    for (const rank place : probed_ranks) {
        for (const server_info* server : ranked[static_cast<std::size_t>(place)]) {
            if (server->outstanding == 0) {
                return server;
            }
        }
    }
    return nullptr;
}

// An even draw over every replica that is known or expected to be fresh, whatever its place and
// load; over the best rank when there is none.
choice choose_round_robin(const ranking& ranked, std::size_t best, random_engine& random)
{
    server_list all = ranked[best];
    for (std::size_t place = best + 1; place <= static_cast<std::size_t>(rank::remote_expected);
         ++place) {
        all.insert(all.end(), ranked[place].begin(), ranked[place].end());
    }
    return choice{all[random_index(all.size(), random)]->name, "round_robin"};
}

choice choose_by_rank(const ranking& ranked, std::size_t place, random_engine& random)
{
    const server_info& best = choose_less_loaded(ranked[place], random);
    const bool can_use_remote = place == static_cast<std::size_t>(rank::local_known) ||
                                place == static_cast<std::size_t>(rank::local_expected);
    if (can_use_remote && is_saturated(best) && !ranked[place + 1].empty()) {
        const server_info& remote = choose_less_loaded(ranked[place + 1], random);
        if (load_of(remote) < remote_load_ratio * load_of(best)) {
            return choice{remote.name, "remote_replica_less_loaded"};
        }
    }
    return choice{best.name, rank_reasons[place]};
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
    const auto place = static_cast<std::size_t>(best - ranked.begin());
    if (policy.choice == choice_policy::round_robin) {
        return choose_round_robin(ranked, place, random);
    }
    const server_info* probe = find_probe_target(ranked);
    if (probe != nullptr && random_index(reads_per_probe, random) == 0) {
        return choice{probe->name, "probe"};
    }
    return choose_by_rank(ranked, place, random);
}

result<choice> choose_write(std::span<const server_info> group, const server_name& primary,
                            clock::time_point now)
{
    if (primary.empty()) {
        return no_primary("The database has no primary: a failover is under way.");
    }
    const auto found = std::ranges::find(group, primary, &server_info::name);
    if (found == group.end()) {
        return no_primary("The primary has not announced itself to this fleet.");
    }
    if (found->leaving && now - found->leaving_since > leaving_primary_grace) {
        return no_primary("The primary is leaving and takes no new work.");
    }
    if (found->health == server_health::down) {
        return no_primary("The primary does not answer.");
    }
    if (now - found->reported_at > max_primary_silence) {
        return no_primary("The primary has not been heard of: a failover is due.");
    }
    if (found->health == server_health::probing && found->outstanding > 0) {
        return no_primary("The primary is being tried again after a failure.");
    }
    return choice{found->name, "primary"};
}

} // namespace primrosehead::routing
