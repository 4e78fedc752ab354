#include "fleet_groups.h"
#include "fleet_index.h"
#include "fleet_instances.h"
#include "fleet_servers.h"

#include <primrosehead/fleet.h>
#include <primrosehead/lease.h>
#include <primrosehead/limits.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace primrosehead::fleet {

namespace {

constexpr clock::duration housekeeping_interval{1'000};

limits::contract contract_of(const organisation_settings& organisation,
                             const policy_settings& policies, std::uint32_t instances)
{
    const bool is_split = policies.limits == limit_policy::static_split;
    limits::contract contract;
    contract.rate = organisation.rate;
    contract.burst = organisation.burst;
    contract.floor_share = is_split ? 1.0 : policies.floor_share;
    contract.instances = instances;
    return contract;
}

// Returns true if an instance has the current state version but a different state digest.
bool has_diverged(const pb::heartbeat& heartbeat, const state_machine& state)
{
    return heartbeat.state_version() == state.version() &&
           heartbeat.state_digest() != state.digest();
}

} // namespace

struct service::implementation {
    service_settings settings;
    lease_table leases;
    limits::allowance_ledger ledger;
    instance_table instances;
    server_table servers;
    group_table groups;
    state_index index;
    environment current_environment;
    std::uint64_t environment_version = 0;
    std::uint64_t pushed_version = 0;
    clock::time_point last_housekeeping_at;

    implementation(service_settings initial_settings, clock::time_point elected_at)
        : settings(std::move(initial_settings)), leases(elected_at, settings.write_lease),
          ledger(settings.enabled.count_old_grants ? elected_at : elected_at - settings.grant * 2,
                 settings.grant),
          instances(settings.instance_timeout), groups(settings)
    {
    }

    void update_contracts(clock::time_point now)
    {
        const std::uint32_t entry_instances = std::max(index.entry_instances(), 1U);
        for (const organisation_settings& organisation : current_environment.organisations) {
            ledger.set_contract(
                organisation.name,
                contract_of(organisation, current_environment.policies, entry_instances), now);
        }
    }

    // Documents are validated before they are stored. If one still fails to parse, the previous
    // environment stays in effect.
    bool load_environment(const state_machine& state, clock::time_point now)
    {
        const pb::environment_record* stored = state.environment(settings.environment);
        if (stored == nullptr || stored->production_version() == environment_version) {
            return false;
        }
        environment_version = stored->production_version();
        result<environment> parsed = parse_environment(stored->production_document());
        if (!ok(parsed)) {
            return false;
        }
        for (const organisation_settings& previous : current_environment.organisations) {
            if (value(parsed).find(previous.name) == nullptr) {
                ledger.remove(previous.name);
            }
        }
        current_environment = value(std::move(parsed));
        groups.configure(current_environment, servers, now);
        return true;
    }

    void update_from_state(const state_machine& state, clock::time_point now)
    {
        if (!index.update(state)) {
            return;
        }
        load_environment(state, now);
        update_contracts(now);
    }

    void record_reports(const pb::heartbeat& heartbeat, clock::time_point now)
    {
        for (const pb::server_report& report : heartbeat.servers()) {
            const server_entry* recorded = servers.record_report(report, heartbeat.instance(), now);
            if (recorded != nullptr) {
                groups.on_report(*recorded);
            }
        }
    }

    // Grants no lease to an instance whose state is ahead of this leader's or has diverged from it.
    void renew_lease(const pb::heartbeat& heartbeat, const state_machine& state,
                     clock::time_point now, pb::heartbeat_reply& reply)
    {
        if (heartbeat.state_version() > state.version() || has_diverged(heartbeat, state)) {
            return;
        }
        leases.record_grant(instance_name(heartbeat.instance()), heartbeat.state_version(), now);
        reply.set_lease_ms(static_cast<std::uint32_t>(settings.write_lease.count()));
    }

    static void add_delta(std::uint64_t from_version, const state_machine& state,
                          pb::heartbeat_reply& reply)
    {
        if (from_version < state.version()) {
            *reply.mutable_delta() = state.delta_since(from_version);
        }
    }

    void add_grants(const pb::heartbeat& heartbeat, clock::time_point now,
                    pb::heartbeat_reply& reply)
    {
        const instance_name instance(heartbeat.instance());
        for (const pb::allowance_report& report : heartbeat.allowances()) {
            if (current_environment.find(organisation_name(report.organisation())) == nullptr) {
                continue;
            }
            *reply.add_grants() =
                ledger.handle_report(instance, heartbeat.incarnation(), heartbeat.sequence(),
                                     heartbeat.answered_sequence(), report, now);
        }
    }

    void add_directory(instance_entry& entry, clock::time_point now, pb::heartbeat_reply& reply)
    {
        for (pb::server_report& report :
             servers.changed_since(entry.confirmed_revision, entry.self.instance(), now)) {
            *reply.add_servers() = std::move(report);
        }
        entry.replies.push_back({entry.sequence, servers.revision()});
        for (std::string& name : instances.live(now)) {
            reply.add_live_instances(std::move(name));
        }
    }

    [[nodiscard]] boost::json::object describe_instances(clock::time_point now) const
    {
        boost::json::object all;
        for (const std::string& name : instances.live(now)) {
            const instance_entry& entry = *instances.find(name);
            all[name] =
                boost::json::object{{"failure_domain", entry.self.failure_domain()},
                                    {"endpoint", entry.self.endpoint()},
                                    {"state_version", entry.state_version},
                                    {"heard_ms_ago", (now - entry.last_heartbeat_at).count()},
                                    {"leaving", entry.self.leaving()}};
        }
        return all;
    }

    [[nodiscard]] boost::json::object describe_servers(clock::time_point now) const
    {
        boost::json::object all;
        for (const auto& [name, entry] : servers.all()) {
            const pb::server_report& report = entry.report;
            all[name] = boost::json::object{{"database", report.database()},
                                            {"failure_domain", report.failure_domain()},
                                            {"role", report.role()},
                                            {"received_term", report.received().term()},
                                            {"received_index", report.received().index()},
                                            {"data_age_ms", report.data_age_ms()},
                                            {"leaving", report.leaving()},
                                            {"heard_ms_ago", (now - entry.reported_at).count()}};
        }
        return all;
    }

    [[nodiscard]] boost::json::object describe_groups(const state_machine& state,
                                                      clock::time_point now) const
    {
        boost::json::object all;
        for (const auto& [database, phase] : groups.phases()) {
            boost::json::object group{{"phase", phase}};
            if (const pb::group_record* record = state.group(database)) {
                group["term"] = record->term();
                group["primary"] = record->primary();
            }
            boost::json::array waiting;
            for (const instance_name& name :
                 leases.holders_before(index.group(database).version, now)) {
                waiting.emplace_back(name.text());
            }
            group["waiting_for"] = std::move(waiting);
            all[database] = std::move(group);
        }
        return all;
    }
};

service::service(service_settings settings, clock::time_point elected_at)
    : body_(std::make_unique<implementation>(std::move(settings), elected_at))
{
}

service::~service() = default;
service::service(service&&) noexcept = default;
service& service::operator=(service&&) noexcept = default;

pb::heartbeat_reply service::handle_heartbeat(const pb::heartbeat& heartbeat,
                                              const state_machine& state, clock::time_point now)
{
    pb::heartbeat_reply reply;
    reply.set_is_leader(true);
    instance_entry* entry = body_->instances.record_heartbeat(heartbeat, now);
    if (entry == nullptr) {
        return reply;
    }
    body_->update_from_state(state, now);
    reply.set_sequence(heartbeat.sequence());
    reply.set_asked_at_ms(heartbeat.asked_at_ms());
    body_->record_reports(heartbeat, now);
    body_->renew_lease(heartbeat, state, now, reply);
    body_->add_delta(has_diverged(heartbeat, state) ? 0 : heartbeat.state_version(), state, reply);
    body_->add_grants(heartbeat, now, reply);
    body_->add_directory(*entry, now, reply);
    return reply;
}

pb::heartbeat_reply service::make_push(std::string_view instance, const state_machine& state) const
{
    pb::heartbeat_reply reply;
    reply.set_is_leader(true);
    const instance_entry* entry = body_->instances.find(instance);
    body_->add_delta(entry == nullptr ? 0 : entry->state_version, state, reply);
    return reply;
}

std::vector<action> service::advance(const state_machine& state, clock::time_point now)
{
    std::vector<action> actions;
    body_->update_from_state(state, now);
    if (state.version() != body_->pushed_version) {
        body_->pushed_version = state.version();
        actions.emplace_back(push_state{});
    }
    for (pb::command& command : body_->instances.registrations(state, now)) {
        actions.emplace_back(propose{std::move(command)});
    }
    body_->groups.advance(state, body_->index, body_->leases, body_->servers, now, actions);
    if (now - body_->last_housekeeping_at >= housekeeping_interval) {
        body_->last_housekeeping_at = now;
        body_->instances.remove_expired(now);
        body_->servers.remove_expired(now);
    }
    return actions;
}

void service::on_fenced(std::string_view database, std::string_view server, std::uint64_t term,
                        log_position received)
{
    if (failover::planner* planner = body_->groups.find(database)) {
        planner->on_fenced(server_name(server), term, received);
    }
}

void service::on_promoted(std::string_view database, std::string_view server, std::uint64_t term,
                          std::uint64_t start_index)
{
    if (failover::planner* planner = body_->groups.find(database)) {
        planner->on_promoted(server_name(server), term, start_index);
    }
}

void service::on_refused(std::string_view database, std::string_view server,
                         std::uint64_t seen_term)
{
    if (failover::planner* planner = body_->groups.find(database)) {
        planner->on_refused(server_name(server), seen_term);
    }
}

void service::on_followed(std::string_view server, std::uint64_t term)
{
    if (server_entry* entry = body_->servers.find(server)) {
        entry->followed_term = term;
        entry->followed_at = entry->follow_ordered_at;
    }
}

void service::request_switchover(std::string_view database)
{
    if (failover::planner* planner = body_->groups.find(database)) {
        planner->request_switchover();
    }
}

std::string service::describe(const state_machine& state, clock::time_point now) const
{
    return boost::json::serialize(
        boost::json::object{{"state_version", state.version()},
                            {"instances", body_->describe_instances(now)},
                            {"servers", body_->describe_servers(now)},
                            {"groups", body_->describe_groups(state, now)}});
}

std::vector<std::string> service::live_instances(clock::time_point now) const
{
    return body_->instances.live(now);
}

} // namespace primrosehead::fleet
