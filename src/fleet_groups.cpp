#include "fleet_groups.h"

#include <utility>

namespace primrosehead::fleet {

namespace {

constexpr clock::duration steady_check_interval{20}; // between checks of a group in phase `steady`
constexpr clock::duration follow_retry{200};         // between follow orders to one server
// A replica with data older than this is taken as not replicating.
constexpr clock::duration stale_data_age{1'000};
constexpr clock::duration stale_follow_retry{1'000}; // between follow orders to such a replica
constexpr clock::duration max_report_delay{300};     // a report may predate the order by up to this

failover::member_report make_member_report(const server_entry& server)
{
    const pb::server_report& report = server.report;
    failover::member_report member;
    member.server = server_name(report.server());
    member.url = report.url();
    member.reported_at = server.reported_at;
    member.received = {report.received().term(), report.received().index()};
    member.term = report.term();
    member.is_primary = report.role() == "primary";
    member.is_leaving = report.leaving();
    return member;
}

// Converts a planner's orders to actions of the service.
struct action_builder {
    const std::string& database;

    action operator()(const failover::close_term& order) const
    {
        propose proposal;
        pb::begin_promotion& begin = *proposal.command.mutable_begin();
        begin.set_database(database);
        begin.set_new_term(order.new_term);
        return proposal;
    }

    action operator()(const failover::open_term& order) const
    {
        propose proposal;
        pb::finish_promotion& finish = *proposal.command.mutable_finish();
        finish.set_database(database);
        finish.set_term(order.term);
        finish.set_primary(order.server.text());
        finish.set_primary_url(order.url);
        finish.set_start_index(order.start_index);
        return proposal;
    }

    action operator()(const failover::fence_server& order) const
    {
        return order_server{database, order};
    }

    action operator()(const failover::promote_server& order) const
    {
        return order_server{database, order};
    }
};

// Returns true if the server accepted an order to follow in this term and no later report
// contradicts it.
bool is_following(const server_entry& server, const pb::group_record& group)
{
    if (server.followed_term != group.term()) {
        return false;
    }
    const bool is_fresh = server.reported_at > server.followed_at + max_report_delay;
    const bool is_behind_term = server.report.term() != 0 && server.report.term() < group.term();
    return !is_fresh || (server.report.role() != "primary" && !is_behind_term);
}

clock::duration follow_interval(const server_entry& server, const pb::group_record& group)
{
    if (!is_following(server, group)) {
        return follow_retry;
    }
    const bool is_stale = clock::duration(server.report.data_age_ms()) > stale_data_age;
    return is_stale ? stale_follow_retry : clock::duration::max();
}

void order_followers(const pb::group_record& group, server_table& servers,
                     clock::duration silence_limit, clock::time_point now,
                     std::vector<action>& actions)
{
    for (server_entry* server : servers.group(group.database())) {
        if (server->report.server() == group.primary() ||
            now - server->reported_at >= silence_limit) {
            continue;
        }
        const clock::duration interval = follow_interval(*server, group);
        if (now - server->follow_ordered_at < interval) {
            continue;
        }
        server->follow_ordered_at = now;
        actions.emplace_back(
            follow_server{group.database(), server->report.server(), server->report.url(), group});
    }
}

} // namespace

void group_table::configure(const environment& target, server_table& servers, clock::time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        return target.find(database_name(item.first)) == nullptr;
    });
    failover::planner_settings planner_settings;
    planner_settings.failure_after = target.policies.failure_after;
    planner_settings.group_size = settings_.group_size;
    planner_settings.choose_highest = settings_.enabled.choose_highest;
    for (const database_settings& database : target.databases) {
        const std::string& name = database.name.text();
        if (entries_.contains(name)) {
            continue;
        }
        failover::planner planner(database.name, planner_settings, now);
        for (const server_entry* server : servers.group(name)) {
            planner.on_report(make_member_report(*server));
        }
        entries_.emplace(name, entry{std::move(planner), now});
    }
}

failover::planner* group_table::find(std::string_view database)
{
    const auto found = entries_.find(database);
    return found == entries_.end() ? nullptr : &found->second.planner;
}

void group_table::on_report(const server_entry& server)
{
    if (failover::planner* planner = find(server.report.database())) {
        planner->on_report(make_member_report(server));
    }
}

void group_table::advance_group(const std::string& database, entry& group_entry,
                                const state_index& index, const lease_table& leases,
                                clock::time_point now, std::vector<action>& actions) const
{
    const failover::group_view group = index.group(database);
    const bool old_leases_ended =
        !settings_.enabled.wait_for_leases || leases.none_before(group.version, now);
    for (const failover::order& order : group_entry.planner.advance(group, old_leases_ended, now)) {
        actions.push_back(std::visit(action_builder{database}, order));
    }
}

void group_table::advance(const state_machine& state, const state_index& index,
                          const lease_table& leases, server_table& servers, clock::time_point now,
                          std::vector<action>& actions)
{
    for (auto& [database, group_entry] : entries_) {
        const bool is_steady = group_entry.planner.phase() == "steady";
        if (is_steady && now < group_entry.next_check_at) {
            continue;
        }
        group_entry.next_check_at = now + steady_check_interval;
        advance_group(database, group_entry, index, leases, now, actions);
        const pb::group_record* group = state.group(database);
        if (group != nullptr && !group->primary().empty()) {
            order_followers(*group, servers, settings_.instance_timeout, now, actions);
        }
    }
}

std::map<std::string, std::string_view> group_table::phases() const
{
    std::map<std::string, std::string_view> phases;
    for (const auto& [database, group_entry] : entries_) {
        phases.emplace(database, group_entry.planner.phase());
    }
    return phases;
}

} // namespace primrosehead::fleet
