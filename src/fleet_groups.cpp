#include "fleet_groups.h"

#include <utility>

namespace primrosehead::fleet {

namespace {

constexpr clock::duration steady_look{20};   // between looks at a group that is well
constexpr clock::duration follow_retry{200}; // between orders to one server
constexpr clock::duration stale_data{1'000}; // a replica's data of this age: follows nobody
constexpr clock::duration stale_retry{1'000};
constexpr clock::duration report_delay{300}; // a report may be older than the order by this

failover::member_report member_of(const server_entry& server)
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

// Turns a plan's orders into the service's actions.
struct action_maker {
    const std::string& database;

    action operator()(const failover::close_term& order) const
    {
        propose made;
        pb::begin_promotion& begin = *made.command.mutable_begin();
        begin.set_database(database);
        begin.set_new_term(order.new_term);
        return made;
    }

    action operator()(const failover::open_term& order) const
    {
        propose made;
        pb::finish_promotion& finish = *made.command.mutable_finish();
        finish.set_database(database);
        finish.set_term(order.term);
        finish.set_primary(order.server.text());
        finish.set_primary_url(order.url);
        finish.set_start_index(order.start_index);
        return made;
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

// The server was ordered to follow in this term, and nothing heard since speaks against it.
bool follows(const server_entry& server, const pb::group_record& group)
{
    if (server.followed_term != group.term()) {
        return false;
    }
    const bool is_fresh = server.reported_at > server.followed_at + report_delay;
    const bool is_older = server.report.term() != 0 && server.report.term() < group.term();
    return !is_fresh || (server.report.role() != "primary" && !is_older);
}

clock::duration pause_before_follow(const server_entry& server, const pb::group_record& group)
{
    if (!follows(server, group)) {
        return follow_retry;
    }
    const bool is_stale = clock::duration(server.report.data_age_ms()) > stale_data;
    return is_stale ? stale_retry : clock::duration::max();
}

void order_followers(const pb::group_record& group, server_table& servers,
                     clock::duration silence_limit, clock::time_point now,
                     std::vector<action>& actions)
{
    for (server_entry* server : servers.group(group.database())) {
        if (server->report.server() == group.primary() || now - server->reported_at >= silence_limit) {
            continue;
        }
        const clock::duration pause = pause_before_follow(*server, group);
        if (now - server->follow_ordered_at < pause) {
            continue;
        }
        server->follow_ordered_at = now;
        actions.emplace_back(
            follow_server{group.database(), server->report.server(), server->report.url(), group});
    }
}

} // namespace

void group_table::change(const environment& wanted, server_table& servers, clock::time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        return wanted.find(database_name(item.first)) == nullptr;
    });
    failover::planner_settings plan_settings;
    plan_settings.failure_after = wanted.policies.failure_after;
    plan_settings.group_size = settings_.group_size;
    plan_settings.choose_highest = settings_.enabled.choose_highest;
    for (const database_settings& database : wanted.databases) {
        const std::string& name = database.name.text();
        if (entries_.contains(name)) {
            continue;
        }
        failover::planner plan(database.name, plan_settings, now);
        for (const server_entry* server : servers.group(name)) {
            plan.on_report(member_of(*server));
        }
        entries_.emplace(name, entry{std::move(plan), now});
    }
}

failover::planner* group_table::find(std::string_view database)
{
    const auto found = entries_.find(database);
    return found == entries_.end() ? nullptr : &found->second.plan;
}

void group_table::heard(const server_entry& server)
{
    if (failover::planner* plan = find(server.report.database())) {
        plan->on_report(member_of(server));
    }
}

void group_table::advance_one(const std::string& database, entry& one, const state_index& index,
                              const lease_table& leases, clock::time_point now,
                              std::vector<action>& actions) const
{
    const failover::group_view group = index.group(database);
    const bool passed = !settings_.enabled.wait_for_leases || leases.none_before(group.version, now);
    for (const failover::order& order : one.plan.advance(group, passed, now)) {
        actions.push_back(std::visit(action_maker{database}, order));
    }
}

void group_table::advance(const state_machine& state, const state_index& index,
                          const lease_table& leases, server_table& servers, clock::time_point now,
                          std::vector<action>& actions)
{
    for (auto& [database, one] : entries_) {
        const bool is_steady = one.plan.phase() == "steady";
        if (is_steady && now < one.next_look) {
            continue;
        }
        one.next_look = now + steady_look;
        advance_one(database, one, index, leases, now, actions);
        const pb::group_record* group = state.group(database);
        if (group != nullptr && !group->primary().empty()) {
            order_followers(*group, servers, settings_.instance_timeout, now, actions);
        }
    }
}

std::map<std::string, std::string_view> group_table::phases() const
{
    std::map<std::string, std::string_view> phases;
    for (const auto& [database, one] : entries_) {
        phases.emplace(database, one.plan.phase());
    }
    return phases;
}

} // namespace primrosehead::fleet
