#include "gateway_directory.h"

#include <primrosehead/config.h>
#include <primrosehead/ownership.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace primrosehead {

namespace {

// Instances that are tried for one server, one after the other.
constexpr std::size_t max_owners = 3;

// Instances that are gone and remembered for the transactions that they may still hold.
constexpr std::size_t max_departed_peers = 256;

// Of several servers that claim to be primary only the one of the newest term is believed.
void demote_stale_primaries(std::vector<known_report>& group)
{
    const auto claim = [](const known_report& report) {
        const bool is_primary = report.info.role == server_role::primary;
        return std::tuple(is_primary, report.info.applied.term, report.primary_since);
    };
    const auto newest = std::ranges::max_element(group, {}, claim);
    for (auto report = group.begin(); report != group.end(); ++report) {
        if (report != newest && report->info.role == server_role::primary) {
            report->info.role = server_role::replica;
            report->info.data_age = clock::duration::max() / 2; // its claim can't be trusted
        }
    }
}

clock::duration median_excluding(const std::vector<clock::duration>& latencies,
                                 std::size_t excluded)
{
    std::vector<clock::duration> others;
    others.reserve(latencies.size());
    for (std::size_t i = 0; i < latencies.size(); ++i) {
        if (i != excluded && latencies[i] > clock::duration::zero()) {
            others.push_back(latencies[i]);
        }
    }
    if (others.empty()) {
        return clock::duration::zero();
    }
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::ranges::nth_element(others, middle);
    return *middle;
}

bool is_same_instance(const instance_address& left, const instance_address& right)
{
    return left.name == right.name && left.failure_domain == right.failure_domain &&
           left.endpoint == right.endpoint;
}

pb::server_report to_message(const known_report& known, clock::time_point now)
{
    const server_info& info = known.info;
    pb::server_report message;
    message.set_server(info.name.text());
    message.set_database(info.database.text());
    message.set_failure_domain(info.failure_domain.text());
    message.set_url(info.url);
    message.set_role(info.role == server_role::primary ? "primary" : "replica");
    message.mutable_applied()->set_term(info.applied.term);
    message.mutable_applied()->set_index(info.applied.index);
    message.mutable_received()->set_term(known.received.term);
    message.mutable_received()->set_index(known.received.index);
    message.set_term(known.promised_term);
    message.set_data_age_ms(static_cast<std::uint64_t>(info.data_age.count()));
    message.set_slots(info.slots);
    message.set_connection_limit(info.connection_limit);
    message.set_leaving(info.leaving);
    message.set_age_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - info.reported_at).count())));
    return message;
}

} // namespace

gateway_directory::gateway_directory(std::shared_ptr<gateway_context> context)
    : context_(std::move(context)), snapshot_(std::make_unique<snapshot>())
{
}

std::unique_ptr<gateway_directory::snapshot> gateway_directory::copy() const
{
    return snapshot_.read([](const snapshot& view) { return std::make_unique<snapshot>(view); });
}

void gateway_directory::publish(std::unique_ptr<snapshot> next)
{
    next->groups.clear();
    for (auto& [name, route] : next->servers) {
        route.owners = rank_owners(*route.server, *next);
        next->groups[route.server->database()].push_back(route.server);
    }
    for (auto& [database, servers] : next->groups) {
        std::ranges::sort(servers, {}, [](const auto& server) { return server->name(); });
    }
    snapshot_.publish(std::move(next));
}

// Live instances of the server's failure domain, or all live ones when that domain has none.
std::vector<gateway_owner> gateway_directory::rank_owners(const gateway_server& server,
                                                          const snapshot& view) const
{
    std::vector<instance_name> in_domain;
    std::vector<instance_name> all;
    all.reserve(view.live.size());
    for (const instance_address& instance : view.live) {
        all.push_back(instance.name);
        if (instance.failure_domain == server.failure_domain()) {
            in_domain.push_back(instance.name);
        }
    }
    std::vector<gateway_owner> owners;
    for (const instance_name& owner :
         ranked_owners(server.name(), in_domain.empty() ? all : in_domain)) {
        if (owners.size() == max_owners) {
            break;
        }
        const bool is_this = owner == context_->settings.instance;
        owners.push_back(is_this ? nullptr : view.peers.at(owner));
    }
    if (owners.empty()) {
        owners.emplace_back();
    }
    return owners;
}

void gateway_directory::apply_report(const pb::server_report& report, clock::time_point now)
{
    const std::lock_guard lock(writer_);
    const server_route known = find(server_name(report.server()));
    const bool is_same = known.server && known.server->database().text() == report.database() &&
                         known.server->failure_domain().text() == report.failure_domain();
    if (is_same) {
        known.server->apply_report(report, now);
        return;
    }
    auto next = copy();
    if (!known.server && next->servers.size() >= config::max_servers_per_instance) {
        spdlog::warn("gateway: Server {} is not taken in: {} servers are known already.",
                     report.server(), next->servers.size());
        return;
    }
    server_route& route = next->servers[server_name(report.server())];
    route.server = std::make_shared<gateway_server>(context_, report, now);
    spdlog::info("gateway: Server {} of {} is known now at {}.", report.server(), report.database(),
                 report.url());
    publish(std::move(next));
}

void gateway_directory::remove_stale_servers(clock::duration limit, clock::time_point now)
{
    const std::lock_guard lock(writer_);
    const auto is_silent = [&](const auto& entry) {
        return now - entry.second.server->report().info.reported_at > limit;
    };
    const bool any_silent = snapshot_.read(
        [&](const snapshot& view) { return std::ranges::any_of(view.servers, is_silent); });
    if (!any_silent) {
        return;
    }
    auto next = copy();
    std::erase_if(next->servers, [&](const auto& entry) {
        const bool silent = is_silent(entry);
        if (silent) {
            spdlog::info("gateway: Server {} is forgotten: no report for {} ms.",
                         entry.first.text(), limit.count());
        }
        return silent;
    });
    publish(std::move(next));
}

void gateway_directory::set_instances(std::span<const instance_address> live)
{
    const std::lock_guard lock(writer_);
    const bool is_same = snapshot_.read([&](const snapshot& view) {
        return std::ranges::equal(view.live, live, is_same_instance);
    });
    if (is_same) {
        return;
    }
    auto next = copy();
    next->live.assign(live.begin(), live.end());
    prune_departed_peers(*next);
    for (const instance_address& instance : live) {
        std::shared_ptr<gateway_peer>& peer = next->peers[instance.name];
        if (!peer || peer->address().endpoint != instance.endpoint) {
            peer = std::make_shared<gateway_peer>(context_, instance);
        }
    }
    publish(std::move(next));
}

// Forgets instances that are gone, owe nothing to anyone and gave no sign of life when asked.
// Others that are gone may still hold transactions.
void gateway_directory::prune_departed_peers(snapshot& view) const
{
    const clock::time_point now = clock::now();
    const bool too_many = view.peers.size() > view.live.size() + max_departed_peers;
    std::erase_if(view.peers, [&](const auto& entry) {
        const gateway_peer& peer = *entry.second;
        const std::string& endpoint = peer.address().endpoint;
        const bool in_use = std::ranges::any_of(view.live, [&](const instance_address& instance) {
            return instance.name == entry.first || instance.endpoint == endpoint;
        });
        const bool is_departed =
            !in_use && peer.is_idle() && (too_many || peer.is_unresponsive(now));
        if (is_departed) {
            context_->messages.disconnect(endpoint);
        }
        return is_departed;
    });
}

server_route gateway_directory::find(const server_name& server) const
{
    return snapshot_.read([&](const snapshot& view) {
        const auto found = view.servers.find(server);
        return found == view.servers.end() ? server_route() : found->second;
    });
}

std::shared_ptr<gateway_peer> gateway_directory::find(const instance_name& instance) const
{
    return snapshot_.read([&](const snapshot& view) {
        const auto found = view.peers.find(instance);
        return found == view.peers.end() ? nullptr : found->second;
    });
}

std::vector<server_info> gateway_directory::group(const database_name& database) const
{
    std::vector<known_report> reports;
    snapshot_.read([&](const snapshot& view) {
        const auto found = view.groups.find(database);
        if (found == view.groups.end()) {
            return;
        }
        reports.reserve(found->second.size());
        for (const auto& server : found->second) {
            reports.push_back(server->report());
        }
    });
    demote_stale_primaries(reports);
    std::vector<server_info> servers;
    servers.reserve(reports.size());
    for (known_report& report : reports) {
        servers.push_back(std::move(report.info));
    }
    return servers;
}

std::vector<pb::server_report> gateway_directory::recent_announcements(clock::time_point since,
                                                                       clock::time_point now) const
{
    std::vector<pb::server_report> announcements;
    snapshot_.read([&](const snapshot& view) {
        for (const auto& [name, route] : view.servers) {
            const known_report known = route.server->report();
            if (known.announced_at >= since) {
                announcements.push_back(to_message(known, now));
            }
        }
    });
    return announcements;
}

void gateway_directory::check(clock::time_point now) const
{
    snapshot_.read([&](const snapshot& view) {
        for (const auto& [database, servers] : view.groups) {
            std::vector<clock::duration> latencies;
            latencies.reserve(servers.size());
            for (const auto& server : servers) {
                latencies.push_back(server->latency());
            }
            for (std::size_t i = 0; i < servers.size(); ++i) {
                servers[i]->check(median_excluding(latencies, i));
            }
        }
        for (const auto& [name, peer] : view.peers) {
            peer->check(now);
        }
    });
}

} // namespace primrosehead
