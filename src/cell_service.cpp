#include "cell_service.h"

#include "state_records.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Announcement intervals after which every live server was heard: one interval, jitter, one retry.
constexpr int announcement_intervals_until_complete = 2;
constexpr clock::duration registration_interval{500};
constexpr clock::duration live_timeout{1'500}; // several follow requests of an instance

constexpr clock::duration membership_record_interval{300};
// A server that is noted and says nothing for longer than any cut is taken as gone for good.
constexpr clock::duration unannounced_retention{15'000};

bool is_recorded(const pb::group_record& stored, const promotion::member& member)
{
    return std::any_of(stored.members().begin(), stored.members().end(), [&](const auto& each) {
        return each.server() == member.server && each.address() == member.address &&
               each.born_ms() == member.born_ms;
    });
}

promotion::decision_record decision_record_of(const state_machine& state, std::string_view group)
{
    const pb::group_record* const stored = state.group(group);
    return stored == nullptr ? promotion::decision_record{}
                             : promotion::decision_record{stored->term(), stored->primary()};
}

} // namespace

service::service(service_settings settings, std::uint64_t term, clock::time_point elected_at)
    : settings_(settings), term_(term), elected_at_(elected_at),
      share_allocator_(elected_at, settings.instance_lease), token_buckets_(elected_at)
{
}

// The servers that announced themselves, and those that a leader before noted, as long as they may
// be alive and unheard.
std::vector<promotion::member> service::members_of(const directory& servers,
                                                   const pb::group_record* stored,
                                                   std::string_view group, clock::time_point now)
{
    std::vector<promotion::member> members;
    for (const directory_entry* entry : servers.group(group)) {
        unannounced_since_.erase(entry->announcement.server());
        members.push_back({entry->announcement.server(), entry->announcement.address(),
                           entry->announcement.leaving(), entry->announcement.is_primary(),
                           entry->announcement.born_ms()});
    }
    if (stored == nullptr) {
        return members;
    }
    for (const pb::group_member& noted : stored->members()) {
        const bool is_announced = servers.find(noted.server()) != nullptr;
        const bool is_replaced = std::any_of(members.begin(), members.end(), [&](const auto& each) {
            return each.address == noted.address();
        });
        if (is_announced || is_replaced) {
            continue;
        }
        const clock::time_point since =
            unannounced_since_.try_emplace(noted.server(), now).first->second;
        if (now - since < unannounced_retention) {
            members.push_back({noted.server(), noted.address(), false,
                               noted.server() == stored->seen_primary(), noted.born_ms()});
        }
    }
    return members;
}

void service::record_membership(const std::string& group,
                                const std::vector<promotion::member>& members,
                                const pb::group_record* stored, clock::time_point now,
                                std::vector<group_action>& actions)
{
    const promotion::planner& plan = plans_.at(group);
    if (plan.phase() != "steady" || plan.primary().empty()) {
        return;
    }
    const bool is_same = stored != nullptr && stored->seen_primary() == plan.primary() &&
                         static_cast<std::size_t>(stored->members_size()) == members.size() &&
                         std::all_of(members.begin(), members.end(),
                                     [&](const auto& each) { return is_recorded(*stored, each); });
    clock::time_point& noted_at = membership_recorded_at_[group];
    if (!is_same && now - noted_at >= membership_record_interval) {
        noted_at = now;
        actions.push_back({group, promotion::record_members{members, plan.primary()}});
    }
}

bool service::is_directory_complete(clock::time_point now) const
{
    return now - elected_at_ >=
           settings_.announcement_interval * announcement_intervals_until_complete;
}

std::uint32_t service::live_instances(clock::time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(instances_.begin(), instances_.end(), [&](const auto& item) {
            return now - item.second.last_seen_at < live_timeout;
        }));
}

promotion::planner* service::find_plan(std::string_view group)
{
    const auto found = plans_.find(group);
    return found == plans_.end() ? nullptr : &found->second;
}

void service::record_sightings(const pb::follow_request& request, clock::time_point now)
{
    for (const pb::group_sighting& told : request.sightings()) {
        promotion::planner* const plan = find_plan(told.group());
        if (plan == nullptr) {
            continue;
        }
        promotion::primary_report seen;
        seen.server = told.server();
        if (told.reached_ms_ago() >= 0) {
            seen.reached_ago = clock::duration(told.reached_ms_ago());
        }
        seen.failing_for = clock::duration(told.failing_for_ms());
        plan->on_primary_report(request.instance(), seen, now);
    }
}

// The instance has an answer in hand that was given for a question received at some time: since
// then it knows that it is heard.
void service::confirm_replies(const pb::follow_request& request, instance_state& from,
                              clock::time_point now)
{
    while (!from.unconfirmed_requests.empty() &&
           from.unconfirmed_requests.front().sequence < request.answered_sequence()) {
        from.unconfirmed_requests.pop_front();
    }
    if (!from.unconfirmed_requests.empty() &&
        from.unconfirmed_requests.front().sequence == request.answered_sequence()) {
        share_allocator_.record_confirmation(request.instance(),
                                             from.unconfirmed_requests.front().received_at);
    }
    from.unconfirmed_requests.push_back({request.sequence(), now});
    constexpr std::size_t max_unconfirmed_requests = 32; // a few seconds of questions
    if (from.unconfirmed_requests.size() > max_unconfirmed_requests) {
        from.unconfirmed_requests.pop_front();
    }
}

pb::follow_reply service::follow(const pb::follow_request& request, const state_machine& state,
                                 const directory& servers, clock::time_point now)
{
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(request.sequence());
    reply.set_asked_at_ms(request.asked_at_ms());
    reply.set_control_term(term_);
    instance_state& from = instances_[request.instance()];
    if (from.incarnation != request.incarnation()) {
        share_allocator_.release(request.instance()); // of the process before
        from = instance_state{};
        from.incarnation = request.incarnation();
    }
    if (request.sequence() <= from.sequence) {
        reply.set_sequence(0); // late or repeated: renews nothing
        return reply;
    }
    confirm_replies(request, from, now);
    share_allocator_.renew_lease(request.instance(), now);
    from.sequence = request.sequence();
    from.last_seen_at = now;
    from.failure_domain = request.failure_domain();
    record_sightings(request, now);
    const bool is_registered = state.instance(request.instance()) != nullptr;
    if (request.tells_shares()) {
        std::set<std::string, std::less<>> reported;
        for (const pb::share_report& report : request.shares()) {
            reported.insert(report.organisation());
        }
        share_allocator_.apply_full_report(request.instance(), reported);
    }
    for (const pb::share_report& told : request.shares()) {
        pb::share_grant& grant = *reply.add_shares();
        grant.set_organisation(told.organisation());
        grant.set_share_ppm(is_registered
                                ? share_allocator_.report(told.organisation(), request.instance(),
                                                          request.incarnation(), told.share_ppm(),
                                                          told.demand_per_s(), now)
                                : told.share_ppm());
    }
    if (const pb::published_record* const newest = state.published(document_name)) {
        reply.set_document_version(newest->version());
        if (newest->version() > request.document_version()) {
            *reply.mutable_document() = *newest;
        }
    }
    reply.set_directory_revision(servers.revision());
    if (request.control_term() != term_ || request.directory_revision() != servers.revision()) {
        for (pb::server_announcement& server : servers.servers(now)) {
            *reply.add_servers() = std::move(server);
        }
        reply.set_directory_complete(is_directory_complete(now));
    }
    for (const auto& [group, plan] : plans_) {
        if (!plan.primary().empty()) {
            pb::group_lead& lead = *reply.add_leads();
            lead.set_group(group);
            lead.set_server(plan.primary());
            lead.set_generation(decision_record_of(state, group).number);
        }
    }
    reply.set_live_instances(live_instances(now));
    reply.set_central_ppm(central_ppm_);
    return reply;
}

pb::token_reply service::grant_tokens(const pb::token_request& request, clock::time_point now)
{
    pb::token_reply reply;
    reply.set_is_leader(true);
    for (const pb::token_amount& wanted : request.wanted()) {
        pb::token_amount& granted = *reply.add_granted();
        granted.set_organisation(wanted.organisation());
        const std::uint32_t available =
            share_allocator_.confirmed_share(wanted.organisation(), confirmation_timeout, now);
        granted.set_tokens(
            token_buckets_.take(wanted.organisation(), wanted.tokens(), available, now));
    }
    return reply;
}

// The part follows the registered instances, which don't change with an election or a restart.
void service::update_central_limits(const document& current, clock::time_point /*now*/)
{
    const std::uint32_t part =
        central_rate_ppm(static_cast<std::uint32_t>(share_allocator_.registered_count()));
    if (current.version() == central_limits_version_ && part == central_ppm_) {
        return;
    }
    central_limits_version_ = current.version();
    central_ppm_ = part;
    const double of_rate = static_cast<double>(part) / full_share_ppm;
    const double of_burst = central_burst_fraction(part);
    for (const document_organisation& organisation : current.content().organisations) {
        token_buckets_.set_limits(organisation.name, organisation.rate * of_rate,
                                  organisation.burst * of_burst);
    }
}

std::vector<pb::command> service::pending_registrations(const state_machine& state,
                                                        clock::time_point now)
{
    std::vector<pb::command> commands;
    std::vector<std::string> registered;
    for (const pb::state_record* record : state.records().with_prefix(instance_prefix)) {
        registered.push_back(record->instance().instance());
    }
    share_allocator_.set_registered_instances(std::move(registered));
    for (auto& [name, each] : instances_) {
        if (state.instance(name) != nullptr ||
            now - each.registration_proposed_at < registration_interval) {
            continue;
        }
        each.registration_proposed_at = now;
        pb::command command;
        pb::instance_record& record = *command.mutable_register_one()->mutable_instance();
        record.set_instance(name);
        record.set_failure_domain(each.failure_domain);
        commands.push_back(std::move(command));
    }
    return commands;
}

std::vector<group_action> service::advance(const document* current, const state_machine& state,
                                           const directory& servers, clock::time_point now)
{
    std::vector<group_action> actions;
    share_allocator_.expire(now);
    std::erase_if(instances_, [&](const auto& item) {
        return now - item.second.last_seen_at > settings_.instance_lease;
    });
    if (current == nullptr) {
        return actions;
    }
    update_central_limits(*current, now);
    for (const document_group& group : current->content().groups) {
        const pb::group_record* const stored = state.group(group.name);
        const std::vector<promotion::member> members = members_of(servers, stored, group.name, now);
        // Until every live server was heard, a new cell could overlook a replica.
        const bool is_known = stored != nullptr && stored->members_size() > 0;
        if (members.empty() || (!is_known && !is_directory_complete(now))) {
            continue;
        }
        auto found = plans_.find(group.name);
        if (found == plans_.end()) {
            const std::string seen = stored == nullptr ? std::string() : stored->seen_primary();
            found = plans_
                        .emplace(group.name, promotion::planner(group.name, seen,
                                                                promotion::planner_settings{}, now))
                        .first;
        }
        for (promotion::action& action :
             found->second.advance(members, decision_record_of(state, group.name), now)) {
            actions.push_back({group.name, std::move(action)});
        }
        record_membership(group.name, members, stored, now, actions);
    }
    return actions;
}

} // namespace primrosehead::cell
