#include "cell_service.h"

#include "state_records.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Announcement intervals after which every live server was heard: one interval, jitter, one retry.
constexpr int intervals_until_complete = 2;
constexpr clock::duration register_again{500};
constexpr clock::duration live_within{1'500}; // several follow requests of an instance

constexpr clock::duration note_again{300};
// A server that is noted and says nothing for longer than any cut is taken as gone for good.
constexpr clock::duration absent_kept{15'000};

bool is_noted(const pb::group_record& stored, const promotion::member& member)
{
    return std::any_of(stored.members().begin(), stored.members().end(), [&](const auto& each) {
        return each.server() == member.server && each.address() == member.address &&
               each.born_ms() == member.born_ms;
    });
}

promotion::decision_record record_of(const state_machine& state, std::string_view group)
{
    const pb::group_record* const stored = state.group(group);
    return stored == nullptr ? promotion::decision_record{}
                             : promotion::decision_record{stored->term(), stored->primary()};
}

} // namespace

service::service(service_settings settings, std::uint64_t term, clock::time_point elected_at)
    : settings_(settings), term_(term), elected_at_(elected_at),
      shares_(elected_at, settings.instance_lease), tokens_(elected_at)
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
        absent_since_.erase(entry->said.server());
        members.push_back({entry->said.server(), entry->said.address(), entry->said.leaving(),
                           entry->said.is_primary(), entry->said.born_ms()});
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
            absent_since_.try_emplace(noted.server(), now).first->second;
        if (now - since < absent_kept) {
            members.push_back({noted.server(), noted.address(), false,
                               noted.server() == stored->seen_primary(), noted.born_ms()});
        }
    }
    return members;
}

void service::note_changes(const std::string& group, const std::vector<promotion::member>& members,
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
                                     [&](const auto& each) { return is_noted(*stored, each); });
    clock::time_point& noted_at = noted_at_[group];
    if (!is_same && now - noted_at >= note_again) {
        noted_at = now;
        actions.push_back({group, promotion::record_members{members, plan.primary()}});
    }
}

bool service::is_complete(clock::time_point now) const
{
    return now - elected_at_ >= settings_.announcement_interval * intervals_until_complete;
}

std::uint32_t service::live_instances(clock::time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const auto& item) { return now - item.second.heard_at < live_within; }));
}

promotion::planner* service::find(std::string_view group)
{
    const auto found = plans_.find(group);
    return found == plans_.end() ? nullptr : &found->second;
}

void service::take_sightings(const pb::follow_request& asked, clock::time_point now)
{
    for (const pb::group_sighting& told : asked.sightings()) {
        promotion::planner* const plan = find(told.group());
        if (plan == nullptr) {
            continue;
        }
        promotion::primary_report seen;
        seen.server = told.server();
        if (told.reached_ms_ago() >= 0) {
            seen.reached_ago = clock::duration(told.reached_ms_ago());
        }
        seen.failing_for = clock::duration(told.failing_for_ms());
        plan->on_primary_report(asked.instance(), seen, now);
    }
}

// The instance has an answer in hand that was given for a question received at some time: since
// then it knows that it is heard.
void service::note_confirmation(const pb::follow_request& asked, instance& from,
                                clock::time_point now)
{
    while (!from.received.empty() && from.received.front().sequence < asked.answered_sequence()) {
        from.received.pop_front();
    }
    if (!from.received.empty() && from.received.front().sequence == asked.answered_sequence()) {
        shares_.confirmed(asked.instance(), from.received.front().at);
    }
    from.received.push_back({asked.sequence(), now});
    constexpr std::size_t most_kept = 32; // a few seconds of questions
    if (from.received.size() > most_kept) {
        from.received.pop_front();
    }
}

pb::follow_reply service::follow(const pb::follow_request& asked, const state_machine& state,
                                 const directory& servers, clock::time_point now)
{
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(asked.sequence());
    reply.set_asked_at_ms(asked.asked_at_ms());
    reply.set_control_term(term_);
    instance& from = instances_[asked.instance()];
    if (from.incarnation != asked.incarnation()) {
        shares_.forget(asked.instance()); // of the process before
        from = instance{};
        from.incarnation = asked.incarnation();
    }
    if (asked.sequence() <= from.sequence) {
        reply.set_sequence(0); // late or repeated: renews nothing
        return reply;
    }
    note_confirmation(asked, from, now);
    shares_.heard(asked.instance(), now);
    from.sequence = asked.sequence();
    from.heard_at = now;
    from.failure_domain = asked.failure_domain();
    take_sightings(asked, now);
    const bool is_registered = state.instance(asked.instance()) != nullptr;
    if (asked.tells_shares()) {
        std::set<std::string, std::less<>> told;
        for (const pb::share_report& report : asked.shares()) {
            told.insert(report.organisation());
        }
        shares_.told_all(asked.instance(), told);
    }
    for (const pb::share_report& told : asked.shares()) {
        pb::share_grant& grant = *reply.add_shares();
        grant.set_organisation(told.organisation());
        grant.set_share_ppm(is_registered ? shares_.report(told.organisation(), asked.instance(),
                                                           asked.incarnation(), told.share_ppm(),
                                                           told.demand_per_s(), now)
                                          : told.share_ppm());
    }
    if (const pb::published_record* const newest = state.published(document_name)) {
        reply.set_document_version(newest->version());
        if (newest->version() > asked.document_version()) {
            *reply.mutable_document() = *newest;
        }
    }
    reply.set_directory_revision(servers.revision());
    if (asked.control_term() != term_ || asked.directory_revision() != servers.revision()) {
        for (pb::server_announcement& server : servers.servers(now)) {
            *reply.add_servers() = std::move(server);
        }
        reply.set_directory_complete(is_complete(now));
    }
    for (const auto& [group, plan] : plans_) {
        if (!plan.primary().empty()) {
            pb::group_lead& lead = *reply.add_leads();
            lead.set_group(group);
            lead.set_server(plan.primary());
            lead.set_generation(record_of(state, group).number);
        }
    }
    reply.set_live_instances(live_instances(now));
    reply.set_central_ppm(central_);
    return reply;
}

pb::token_reply service::grant(const pb::token_request& asked, clock::time_point now)
{
    pb::token_reply reply;
    reply.set_is_leader(true);
    for (const pb::token_amount& wanted : asked.wanted()) {
        pb::token_amount& granted = *reply.add_granted();
        granted.set_organisation(wanted.organisation());
        const std::uint32_t available =
            shares_.confirmed_part(wanted.organisation(), held_back_after, now);
        granted.set_tokens(tokens_.take(wanted.organisation(), wanted.tokens(), available, now));
    }
    return reply;
}

// The part follows the registered instances, which don't change with an election or a restart.
void service::set_contracts(const document& present, clock::time_point /*now*/)
{
    const std::uint32_t part = central_part(static_cast<std::uint32_t>(shares_.expected()));
    if (present.version() == contracts_version_ && part == central_) {
        return;
    }
    contracts_version_ = present.version();
    central_ = part;
    const double of_rate = static_cast<double>(part) / whole_share;
    const double of_burst = central_burst_part(part);
    for (const document_organisation& organisation : present.content().organisations) {
        tokens_.change(organisation.name, organisation.rate * of_rate,
                       organisation.burst * of_burst);
    }
}

std::vector<pb::command> service::registrations(const state_machine& state, clock::time_point now)
{
    std::vector<pb::command> commands;
    std::vector<std::string> registered;
    for (const pb::state_record* record : state.records().with_prefix(instance_prefix)) {
        registered.push_back(record->instance().instance());
    }
    shares_.expect(std::move(registered));
    for (auto& [name, each] : instances_) {
        if (state.instance(name) != nullptr || now - each.registered_at < register_again) {
            continue;
        }
        each.registered_at = now;
        pb::command command;
        pb::instance_record& record = *command.mutable_register_one()->mutable_instance();
        record.set_instance(name);
        record.set_failure_domain(each.failure_domain);
        commands.push_back(std::move(command));
    }
    return commands;
}

std::vector<group_action> service::advance(const document* present, const state_machine& state,
                                           const directory& servers, clock::time_point now)
{
    std::vector<group_action> actions;
    shares_.expire(now);
    std::erase_if(instances_, [&](const auto& item) {
        return now - item.second.heard_at > settings_.instance_lease;
    });
    if (present == nullptr) {
        return actions;
    }
    set_contracts(*present, now);
    for (const document_group& group : present->content().groups) {
        const pb::group_record* const stored = state.group(group.name);
        const std::vector<promotion::member> members = members_of(servers, stored, group.name, now);
        // Until every live server was heard, a new cell could overlook a replica.
        const bool is_known = stored != nullptr && stored->members_size() > 0;
        if (members.empty() || (!is_known && !is_complete(now))) {
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
        for (promotion::action& what :
             found->second.advance(members, record_of(state, group.name), now)) {
            actions.push_back({group.name, std::move(what)});
        }
        note_changes(group.name, members, stored, now, actions);
    }
    return actions;
}

} // namespace primrosehead::cell
