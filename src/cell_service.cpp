#include "cell_service.h"

#include "cell_reply_parts.h"
#include "pooler_home_limits.h"
#include "state_records.h"

#include <algorithm>
#include <set>
#include <utility>

namespace primrosehead::cell {

namespace {

// Announcement intervals within which every live server announces itself: one interval, including
// jitter, and one retry.
constexpr int announcement_intervals_until_complete = 2;
constexpr clock::duration registration_interval{500};
constexpr clock::duration live_timeout{1'500}; // several follow requests
// The instances of a large fleet that starts are not registered before the leader has counted them.
constexpr clock::duration registration_delay{1'000};

// Relays stay in use until the fleet has been smaller than half of the size that they are used from
// for a while, so that a partition does not end their use.
constexpr clock::duration relay_use_retention{10'000};

// Every reply with a change is sent to the whole fleet; instances that leave are not delayed.
constexpr clock::duration peers_interval{500};
constexpr clock::duration peers_check_interval{100};
// A new leader first hears from all relays, so that its first list does not lack their followers.
constexpr clock::duration peers_complete_after = live_timeout;

constexpr clock::duration membership_record_interval{300};
// Longer than any network partition: a recorded server that does not announce itself for this long
// is considered gone.
constexpr clock::duration unannounced_retention{15'000};

bool is_recorded(const pb::group_record& stored, const promotion::member& member)
{
    return std::any_of(stored.members().begin(), stored.members().end(), [&](const auto& each) {
        return each.server() == member.server && each.address() == member.address &&
               each.born_ms() == member.born_ms;
    });
}

log_position required_position_of(const pb::group_record& stored)
{
    return {stored.required_term(), stored.required_index()};
}

promotion::recorded_group recorded_group_of(const pb::group_record* stored)
{
    promotion::recorded_group recorded;
    if (stored == nullptr) {
        return recorded;
    }
    recorded.primary = stored->seen_primary();
    recorded.required = required_position_of(*stored);
    for (const pb::group_member& each : stored->members()) {
        recorded.members.push_back({each.server(), each.address(), false, false, each.born_ms()});
    }
    return recorded;
}

promotion::decision_record decision_record_of(const state_machine& state, std::string_view group)
{
    const pb::group_record* const stored = state.group(group);
    if (stored == nullptr) {
        return {};
    }
    return {stored->term(),
            stored->primary(),
            {stored->requested().begin(), stored->requested().end()},
            {stored->resuming().begin(), stored->resuming().end()}};
}

} // namespace

service::service(service_settings settings, std::uint64_t term, clock::time_point elected_at)
    : settings_(std::move(settings)), term_(term), elected_at_(elected_at),
      share_allocator_(elected_at, settings_.instance_lease), token_buckets_(elected_at),
      last_large_at_(elected_at), fence_holders_(elected_at + commit_lease)
{
}

// Returns the servers that announced themselves, and those that an earlier leader recorded, as long
// as they may be alive without an announcement reaching this leader. Those of evacuated failure
// domains are presented as leaving, so that their primaries are replaced.
std::vector<promotion::member> service::members_of(const directory& servers,
                                                   const pb::group_record* stored,
                                                   std::string_view group,
                                                   const domain_set& evacuated,
                                                   const region_set& regions, clock::time_point now)
{
    std::vector<promotion::member> members;
    for (const directory_entry* entry : servers.group(group)) {
        unannounced_since_.erase(entry->announcement.server());
        members.push_back({entry->announcement.server(), entry->announcement.address(),
                           entry->announcement.leaving() ||
                               evacuated.contains(entry->announcement.failure_domain()),
                           entry->announcement.is_primary(), entry->announcement.born_ms()});
        const auto region = settings_.regions.find(entry->announcement.failure_domain());
        members.back().leaving_for = servers.departures().leaving_for(entry->announcement, now);
        members.back().is_outside_regions = !regions.contains(
            region == settings_.regions.end() ? std::string_view() : region->second);
    }
    if (stored == nullptr) {
        return members;
    }
    for (const pb::group_member& recorded : stored->members()) {
        const directory_entry* const entry = servers.find(recorded.server());
        // A start that is later than the deregistered one may not have reached this leader yet.
        const bool is_announced =
            entry != nullptr &&
            (!entry->announcement.gone() || entry->announcement.born_ms() >= recorded.born_ms());
        const bool is_replaced = std::any_of(members.begin(), members.end(), [&](const auto& each) {
            return each.address == recorded.address();
        });
        if (is_announced || is_replaced) {
            continue;
        }
        const clock::time_point since =
            unannounced_since_.try_emplace(recorded.server(), now).first->second;
        if (now - since < unannounced_retention) {
            // The failure domain of a server that has not announced itself is unknown. While one
            // is evacuated, it is a candidate for promotion only if there is no other.
            const bool is_primary = recorded.server() == stored->seen_primary();
            members.push_back({recorded.server(), recorded.address(),
                               !evacuated.empty() && !is_primary, is_primary, recorded.born_ms()});
        }
    }
    return members;
}

void service::record_membership(const std::string& group,
                                const std::vector<promotion::member>& members,
                                const pb::group_record* stored, clock::time_point now,
                                std::vector<group_action>& actions)
{
    const promotion::planner& planner = planners_.at(group);
    if (planner.phase() != "steady" || planner.primary().empty() || planner.is_departure_open()) {
        return;
    }
    const log_position required = planner.required_position();
    const bool is_same = stored != nullptr && stored->seen_primary() == planner.primary() &&
                         required_position_of(*stored) == required &&
                         static_cast<std::size_t>(stored->members_size()) == members.size() &&
                         std::all_of(members.begin(), members.end(),
                                     [&](const auto& each) { return is_recorded(*stored, each); });
    clock::time_point& recorded_at = membership_recorded_at_[group];
    if (!is_same && now - recorded_at >= membership_record_interval) {
        recorded_at = now;
        actions.push_back(
            {group, promotion::record_members{{planner.primary(), members, required}}});
    }
}

bool service::is_directory_complete(clock::time_point now) const
{
    return now - elected_at_ >=
           settings_.announcement_interval * announcement_intervals_until_complete;
}

std::uint32_t service::live_instances(clock::time_point now) const
{
    std::uint32_t count = 0;
    for (const auto& [name, each] : instances_) {
        if (now - each.last_seen_at < live_timeout) {
            count += each.is_relay ? each.followers : 1;
        }
    }
    return count;
}

void service::update_relay_use(clock::time_point now)
{
    const std::uint32_t instances = live_instances(now);
    if (instances >= settings_.relays_from_instances) {
        uses_relays_ = true;
    }
    if (instances > settings_.relays_from_instances / 2) {
        last_large_at_ = now;
    }
    if (now - last_large_at_ > relay_use_retention) {
        uses_relays_ = false;
    }
}

// Pooler instances learn only of relays that serve already. The relays learn of all: this asks them
// to serve, and each keeps its part of the limits.
void service::add_relays(pb::follow_reply& reply, bool is_for_relay, clock::time_point now) const
{
    if (!uses_relays_) {
        return;
    }
    for (const auto& [name, each] : instances_) {
        if (each.is_relay && (is_for_relay || each.is_relaying) &&
            now - each.last_seen_at < live_timeout) {
            pb::relay_address& relay = *reply.add_relays();
            relay.set_endpoint(each.endpoint);
            relay.set_failure_domain(each.failure_domain);
        }
    }
}

void service::record_peers(const pb::follow_request& request, instance_state& sender)
{
    const bool was_leaving = sender.is_leaving;
    sender.is_leaving = request.leaving();
    has_departure_ = has_departure_ || (sender.is_leaving && !was_leaving);
    if (!request.is_relay() || !request.peers_changed()) {
        return;
    }
    sender.peers.clear();
    for (const pb::peer_address& peer : request.peers()) {
        if (is_valid_peer(peer)) {
            sender.peers.push_back(peer);
            has_departure_ = has_departure_ || (peer.gone() && peers_.contains(peer.instance()));
        }
    }
}

// A follower that moves from one relay to another is listed by both for a while. Only instances
// that told their endpoint are listed.
peer_list::peer_map service::live_peers(clock::time_point now) const
{
    peer_list::peer_map live;
    std::vector<std::string_view> leaving;
    for (const auto& [name, each] : instances_) {
        if (now - each.last_seen_at >= live_timeout) {
            continue;
        }
        for (const pb::peer_address& peer : each.peers) {
            if (peer.gone()) {
                leaving.push_back(peer.instance());
            }
            else {
                live.insert_or_assign(peer.instance(), peer);
            }
        }
        if (each.is_leaving) {
            leaving.push_back(name);
        }
        else if (!each.is_relay && !each.endpoint.empty()) {
            pb::peer_address& peer = live[name];
            peer.set_instance(name);
            peer.set_endpoint(each.endpoint);
            peer.set_failure_domain(each.failure_domain);
        }
    }
    for (const std::string_view name : leaving) {
        if (const auto found = live.find(name); found != live.end()) {
            live.erase(found);
        }
    }
    return live;
}

void service::update_peers(clock::time_point now)
{
    const bool is_due = now - peers_published_at_ >= peers_interval &&
                        now - peers_checked_at_ >= peers_check_interval;
    if (!tells_peers() || now - elected_at_ < peers_complete_after || !(is_due || has_departure_)) {
        return;
    }
    has_departure_ = false;
    peers_checked_at_ = now;
    if (peers_.publish(live_peers(now), term_)) {
        peers_published_at_ = now;
    }
}

void service::update_home_groups(const document& current, std::uint32_t instances)
{
    home_groups_.clear();
    for (const document_group& group : current.content().groups) {
        if (pooler::uses_homes(group.connection_limit, instances,
                               settings_.home_connections_per_instance, true)) {
            home_groups_.insert(group.name);
        }
    }
}

// Instances that pass operations to homes have no idle connections to observe the primaries with.
void service::add_positions(pb::follow_reply& reply, clock::time_point now) const
{
    for (const auto& [group, planner] : planners_) {
        if (home_groups_.contains(group) && !planner.primary().empty()) {
            add_position(reply, group, planner.primary(), planner.primary_position(),
                         now - planner.primary_confirmed_at());
        }
    }
}

promotion::planner* service::find_planner(std::string_view group)
{
    const auto found = planners_.find(group);
    return found == planners_.end() ? nullptr : &found->second;
}

// The fences of groups without a planner follow from the requests that an earlier leader recorded.
void service::update_fences(const state_machine& state, clock::time_point now)
{
    has_fences_ = true;
    fence_holders_.expire(now);
    fences_.clear();
    for (const pb::state_record* record : state.records().with_prefix(group_prefix)) {
        const pb::group_record& stored = record->group();
        if (stored.primary().empty() && stored.requested_size() > 0) {
            fences_[stored.database()] = {{term_, 0},
                                          {stored.requested().begin(), stored.requested().end()}};
        }
    }
    for (auto& [group, planner] : planners_) {
        const std::optional<promotion::wanted_fence>& wanted = planner.fence();
        if (!wanted) {
            continue;
        }
        const fence_id id{term_, wanted->serial};
        fences_[group] = {id, wanted->candidates};
        if (fence_holders_.is_applied(group, id, now)) {
            planner.on_fence_applied(wanted->serial, fence_holders_.confirmed(group), now);
        }
    }
}

std::optional<fence_notice> service::take_fence_notice(clock::time_point now)
{
    fence_notice notice;
    notice.instances = fence_holders_.take_unannounced(fences_, now);
    if (notice.instances.empty()) {
        return std::nullopt;
    }
    notice.reply.set_is_leader(true);
    notice.reply.set_control_term(term_);
    add_fences(fences_, notice.reply);
    return notice;
}

void service::handle_primary_reports(const pb::follow_request& request, clock::time_point now)
{
    for (const pb::group_sighting& reported : request.sightings()) {
        promotion::planner* const planner = find_planner(reported.group());
        if (planner == nullptr) {
            continue;
        }
        promotion::primary_report primary_report;
        primary_report.server = reported.server();
        if (reported.reached_ms_ago() >= 0) {
            primary_report.reached_ago = clock::duration(reported.reached_ms_ago());
        }
        primary_report.failing_for = clock::duration(reported.failing_for_ms());
        primary_report.instances = std::max(1U, reported.instances());
        std::string reporter = request.instance();
        if (request.is_relay()) {
            // A relay reports the instances that use a server and those that fail to separately.
            reporter += "/" + reported.server() + (reported.failing_for_ms() > 0 ? "/failing" : "");
        }
        planner->on_primary_report(reporter, primary_report, now);
    }
}

// The instance has received the reply to its request `answered_sequence`, so it was in contact with
// this leader when that request was received.
void service::confirm_replies(const pb::follow_request& request, instance_state& sender,
                              clock::time_point now)
{
    while (!sender.unconfirmed_requests.empty() &&
           sender.unconfirmed_requests.front().sequence < request.answered_sequence()) {
        sender.unconfirmed_requests.pop_front();
    }
    if (!sender.unconfirmed_requests.empty() &&
        sender.unconfirmed_requests.front().sequence == request.answered_sequence()) {
        share_allocator_.record_confirmation(request.instance(),
                                             sender.unconfirmed_requests.front().received_at);
    }
    sender.unconfirmed_requests.push_back({request.sequence(), now});
    constexpr std::size_t max_unconfirmed_requests = 32; // a few seconds of requests
    if (sender.unconfirmed_requests.size() > max_unconfirmed_requests) {
        sender.unconfirmed_requests.pop_front();
    }
}

void service::add_directory(pb::follow_reply& reply, const pb::follow_request& request,
                            const directory& servers, clock::time_point now)
{
    const bool is_same_term = request.control_term() == term_;
    const std::uint64_t held = is_same_term ? request.directory_revision() : 0;
    if (!request.wants_directory() || held == servers.revision()) {
        return;
    }
    std::uint64_t base_revision = 0;
    std::vector<pb::server_announcement> changes = servers.changes_since(held, now, base_revision);
    offer_directory(reply_pacer_, request, std::move(changes), base_revision, now, reply);
}

// Adds at most one large part. Pooler instances get theirs from relays as soon as some serve.
void service::add_large_parts(pb::follow_reply& reply, const pb::follow_request& request,
                              const state_machine& state, const directory& servers,
                              clock::time_point now)
{
    reply.set_directory_revision(servers.revision());
    reply.set_directory_complete(is_directory_complete(now));
    const pb::published_record* const newest = state.published(document_name);
    if (newest != nullptr) {
        reply.set_document_version(newest->version());
    }
    if (!request.wants_document() && !request.wants_directory()) {
        return;
    }
    reply_pacer_.release(request.instance());
    if (!request.is_relay() && reply.relays_size() > 0) {
        reply.set_retry_after_ms(reply_pacer::retry_after_ms(request.instance(), now));
        return;
    }
    if (request.wants_document() && !offer_document(reply_pacer_, request, newest, now, reply)) {
        return;
    }
    add_directory(reply, request, servers, now);
}

pb::follow_reply service::follow(const pb::follow_request& request, const state_machine& state,
                                 const directory& servers, clock::time_point now)
{
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(request.sequence());
    reply.set_asked_at_ms(request.asked_at_ms());
    reply.set_control_term(term_);
    instance_state& sender = instances_[request.instance()];
    if (sender.incarnation != request.incarnation()) {
        share_allocator_.release(request.instance()); // of the previous process
        sender = instance_state{};
        sender.incarnation = request.incarnation();
        sender.first_seen_at = now;
    }
    if (request.sequence() <= sender.sequence) {
        reply.set_sequence(0); // late or repeated
        return reply;
    }
    confirm_replies(request, sender, now);
    share_allocator_.renew_lease(request.instance(), now);
    sender.sequence = request.sequence();
    sender.last_seen_at = now;
    sender.failure_domain = request.failure_domain();
    sender.is_relay = request.is_relay();
    sender.is_relaying = request.is_relaying();
    sender.endpoint = request.endpoint();
    sender.followers = request.followers();
    record_peers(request, sender);
    if (request.is_relaying() && now - elected_at_ < relay_use_retention) {
        uses_relays_ = true; // as the previous leader decided
    }
    share_allocator_.set_keeps_idle_shares(uses_relays_);
    handle_primary_reports(request, now);
    const bool is_registered = state.instance(request.instance()) != nullptr;
    if (request.tells_shares()) {
        std::set<std::string, std::less<>> reported;
        for (const pb::share_report& report : request.shares()) {
            reported.insert(report.organisation());
        }
        share_allocator_.apply_full_report(request.instance(), reported);
    }
    for (const pb::share_report& report : request.shares()) {
        pb::share_grant& grant = *reply.add_shares();
        grant.set_organisation(report.organisation());
        grant.set_share_ppm(is_registered
                                ? share_allocator_.report(report.organisation(), request.instance(),
                                                          request.incarnation(), report.share_ppm(),
                                                          report.demand_per_s(), now)
                                : report.share_ppm());
    }
    add_relays(reply, request.is_relay(), now);
    if (!request.is_relay() || reply.relays_size() > 0) { // others don't pass the lease on
        fence_holders_.record({request.instance(), request.incarnation(), request.is_relay()},
                              reports_of(request), now + commit_lease);
    }
    add_large_parts(reply, request, state, servers, now);
    for (const auto& [group, planner] : planners_) {
        if (!planner.primary().empty()) {
            pb::group_lead& lead = *reply.add_leads();
            lead.set_group(group);
            lead.set_server(planner.primary());
            lead.set_generation(decision_record_of(state, group).number);
        }
    }
    if (!has_fences_) {
        update_fences(state, now);
    }
    add_fences(fences_, reply);
    for (const std::string& domain : evacuated_domains(state)) {
        reply.add_evacuated_domains(domain);
    }
    reply.set_evacuation_version(evacuation_version(state));
    reply.set_live_instances(live_instances(now));
    reply.set_central_ppm(central_ppm_);
    if (tells_peers() && !request.endpoint().empty()) {
        peers_.add_to(reply, request.peers_revision(), sender.peers_sent_at, now);
    }
    if (!request.is_relay()) {
        add_positions(reply, now);
    }
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

// The leader's part depends on the number of registered instances, which an election or a restart
// does not change.
void service::update_central_limits(const document& current, clock::time_point /*now*/)
{
    const std::uint32_t central_ppm =
        central_rate_ppm(static_cast<std::uint32_t>(share_allocator_.registered_count()));
    if (current.version() == central_limits_version_ && central_ppm == central_ppm_) {
        return;
    }
    central_limits_version_ = current.version();
    central_ppm_ = central_ppm;
    const double rate_fraction = static_cast<double>(central_ppm) / full_share_ppm;
    const double burst_fraction = central_burst_fraction(central_ppm);
    for (const document_organisation& organisation : current.content().organisations) {
        token_buckets_.set_limits(organisation.name, organisation.rate * rate_fraction,
                                  organisation.burst * burst_fraction);
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
        const bool has_own_share = each.is_relay == uses_relays_;
        if (!has_own_share || state.instance(name) != nullptr ||
            now - each.first_seen_at < registration_delay ||
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
    update_relay_use(now);
    update_peers(now);
    std::erase_if(instances_, [&](const auto& item) {
        return now - item.second.last_seen_at > settings_.instance_lease;
    });
    if (current == nullptr) {
        update_fences(state, now);
        return actions;
    }
    update_central_limits(*current, now);
    const std::uint32_t instances = live_instances(now);
    update_home_groups(*current, instances);
    const domain_set evacuated = evacuated_domains(state);
    for (const document_group& group : current->content().groups) {
        const pb::group_record* const stored = state.group(group.name);
        const std::vector<promotion::member> members = members_of(
            servers, stored, group.name, evacuated, current->regions_of_group(group.name), now);
        // A new cell could miss a replica before every live server has announced itself.
        const bool is_known = stored != nullptr && stored->members_size() > 0;
        if (members.empty() || (!is_known && !is_directory_complete(now))) {
            continue;
        }
        auto found = planners_.find(group.name);
        if (found == planners_.end()) {
            found =
                planners_
                    .emplace(group.name, promotion::planner(group.name, recorded_group_of(stored),
                                                            promotion::planner_settings{}, now))
                    .first;
        }
        found->second.set_fleet_size(instances);
        for (promotion::action& action :
             found->second.advance(members, decision_record_of(state, group.name), now)) {
            actions.push_back({group.name, std::move(action)});
        }
        record_membership(group.name, members, stored, now, actions);
    }
    update_fences(state, now);
    return actions;
}

} // namespace primrosehead::cell
