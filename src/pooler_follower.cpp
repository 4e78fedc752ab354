#include "pooler_follower.h"

#include "cell_token_buckets.h"
#include "document_codec.h"
#include "event_log.h"
#include "pooler_commits.h"
#include "pooler_pool.h"
#include "primrosehead.pb.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

// A reply takes a few milliseconds. After this time, the endpoint counts as silent.
constexpr clock::duration leader_timeout{500};
// A withdrawn key must not work for longer than the revocation bound; the remainder is for requests
// in flight.
constexpr int lease_tenths = 7;
// Leaves room for instances that join or leave, which changes the parts while they are in use.
constexpr double tolerance_fraction = 0.7;
// A round trip to the leader takes a few milliseconds.
constexpr clock::duration borrow_timeout{60};
// A slower reply does not bound the time at which the leader received the request.
constexpr clock::duration timely_round_trip{100};
// The leader reserves an instance's part once cell::confirmation_timeout has passed since it
// received a request, which was sent at most `timely_round_trip` earlier.
constexpr clock::duration isolated_after =
    cell::confirmation_timeout + timely_round_trip + clock::duration(50);
// The own relay is silent for `leader_timeout`, and the next one may be too.
constexpr clock::duration relay_switch_time{1'200};
// While other relays are silent as well, operations are refused without asking them each time.
constexpr clock::duration alternative_retry_interval{250};
// Tokens are requested for this time in advance, so that not every operation sends a request.
constexpr clock::duration borrow_lookahead{300};

} // namespace

follower::follower(boost::asio::any_io_executor executor, const pooler_settings& settings,
                   std::uint64_t incarnation, document_parser parser, pool& connections,
                   commits& confirmations, event_log& events)
    : executor_(std::move(executor)), settings_(settings), incarnation_(incarnation),
      parser_(std::move(parser)), connections_(connections), confirmations_(confirmations),
      events_(events), lease_(settings.revocation * lease_tenths / 10),
      plan_(settings.instance, settings.failure_domain.text()),
      homes_(settings.instance, settings.regions, settings.homes_per_server)
{
    set_seeds(settings.control);
    connections_.set_leaving_period(settings.leaving);
    connections_.set_evacuation_bound(settings.evacuation);
    connections_.set_regions(settings.regions);
}

void follower::set_seeds(const std::vector<std::string>& addresses)
{
    std::set<std::string> endpoints;
    for (const std::string& address : addresses) {
        endpoints.insert(make_bus_endpoint(host_of(address), settings_.bus_port));
    }
    plan_.set_seeds(std::move(endpoints));
}

void follower::tick(clock::time_point now)
{
    limits_.set_isolated(now - timely_request_at_ > isolated_after, now);
    request_missing_tokens(now);
    if (messages_ == nullptr) {
        return;
    }
    const std::optional<planned_request> planned = plan_.next_request(now);
    log_endpoint_change();
    close_unneeded_connections();
    if (planned) {
        send(*planned, now);
    }
}

void follower::log_endpoint_change()
{
    const std::optional<endpoint_change> change = plan_.take_change();
    if (change && !change->previous.empty()) {
        events_.decision("control", change->was_answered ? "leader_lost" : "endpoint_changed")
            .field("leader", change->previous)
            .field("reason", change->reason)
            .field("next", change->next)
            .field("silent_ms", change->silent_time.count());
    }
}

// An idle connection costs both sides heartbeats.
void follower::close_unneeded_connections()
{
    for (const std::string& endpoint : plan_.take_unneeded()) {
        if (messages_ != nullptr) {
            messages_->disconnect(endpoint);
        }
    }
}

pb::envelope follower::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings_.cell.text());
    message.set_from(settings_.instance);
    return message;
}

// Requests the tokens that organisations lack up to their capacity. A relay keeps the shares of its
// followers, which request tokens for operations only.
void follower::request_missing_tokens(clock::time_point now)
{
    const bool is_due = now - tokens_requested_at_ >= token_request_interval;
    if (!is_due || messages_ == nullptr || central_ppm_ == 0 || follows_relay() ||
        now - plan_.last_reply_at() > leader_timeout) {
        return;
    }
    tokens_requested_at_ = now;
    pb::envelope message = make_envelope();
    pb::token_request& request = *message.mutable_ask_tokens();
    request.set_instance(settings_.instance);
    limits_.request_missing(request, now);
    if (request.wanted_size() > 0) {
        messages_->send(plan_.endpoint(), message);
    }
}

pb::envelope follower::make_token_request(const std::string& organisation, clock::time_point now)
{
    pb::envelope message = make_envelope();
    message.mutable_ask_tokens()->set_instance(settings_.instance);
    pb::token_amount& amount = *message.mutable_ask_tokens()->add_wanted();
    amount.set_organisation(organisation);
    limiter* const limits = limiter_for(organisation);
    const double demand = limits == nullptr ? 0 : limits->demand(now);
    const double lookahead_tokens = demand * static_cast<double>(borrow_lookahead.count()) / 1'000;
    amount.set_tokens(1 + static_cast<std::uint32_t>(lookahead_tokens));
    return message;
}

// Requests a token at `endpoint` unless a request for the organisation is outstanding, and waits
// for the reply.
net::awaitable<bool> follower::request_token(const std::string& organisation,
                                             const std::string& endpoint)
{
    const clock::time_point now = clock::now();
    token_wait& wait = token_waits_[organisation];
    if (wait.operations.empty() || now - wait.requested_at > borrow_timeout) {
        wait.requested_at = now;
        messages_->send(endpoint, make_token_request(organisation, now));
    }
    co_await wait.operations.wait(executor_, now + borrow_timeout);
    limiter* const limits_after = limiter_for(organisation);
    co_return limits_after != nullptr && limits_after->try_take_uncounted(clock::now());
}

net::awaitable<bool> follower::borrow_token(const std::string& organisation)
{
    const clock::time_point asked_at = clock::now();
    const bool is_silent = asked_at - plan_.last_reply_at() > leader_timeout;
    if (limiter_for(organisation) == nullptr || central_ppm_ == 0 ||
        (is_silent && !follows_relay())) {
        co_return false;
    }
    if (!is_silent) {
        const std::string endpoint = plan_.endpoint();
        const bool is_granted = co_await request_token(organisation, endpoint);
        if (is_granted || token_waits_[organisation].answered_at >= asked_at) {
            co_return is_granted;
        }
    }
    // The relay may be down or frozen: another one has a share of the limits too.
    const clock::time_point now = clock::now();
    const std::string alternative = plan_.relays().alternative_to(plan_.endpoint(), now);
    if (alternative.empty() || now - alternative_silent_at_ < alternative_retry_interval) {
        co_return false;
    }
    const bool is_granted = co_await request_token(organisation, alternative);
    if (token_waits_[organisation].answered_at < now) {
        alternative_silent_at_ = clock::now();
    }
    co_return is_granted;
}

net::awaitable<bool> follower::await_share(const std::string& organisation,
                                           clock::time_point deadline)
{
    while (true) {
        limiter* const limits = limiter_for(organisation);
        if (limits == nullptr || follows_relay()) {
            co_return false;
        }
        if (limits->share() > 0) {
            co_return limits->try_take_uncounted(clock::now());
        }
        if (clock::now() >= deadline) {
            co_return false;
        }
        plan_.hasten(); // the next request reports the demand
        co_await share_waits_.wait(executor_, deadline);
    }
}

bool follower::is_without_tokens(clock::time_point now) const noexcept
{
    return follows_relay() && now - plan_.last_reply_at() > relay_switch_time;
}

void follower::receive_tokens(const pb::token_reply& reply, clock::time_point now)
{
    for (const pb::token_amount& granted : reply.granted()) {
        limiter* const limits = limiter_for(granted.organisation());
        if (limits != nullptr) {
            limits->add_granted_tokens(granted.tokens(), now);
            if (granted.retry_after_ms() > 0) {
                limits->set_retry_after(clock::duration(granted.retry_after_ms()));
            }
        }
        const auto wait = token_waits_.find(granted.organisation());
        if (wait == token_waits_.end()) {
            continue;
        }
        wait->second.answered_at = now;
        wait->second.operations.wake_all();
    }
}

// The leader reassigns the shares of an instance that it has not heard from for a lease.
bool follower::drop_expired_shares(clock::time_point now)
{
    const bool is_overdue = now - confirmed_at_ > lease_;
    if (is_overdue) {
        limits_.drop_shares(now);
    }
    return is_overdue;
}

void follower::send(const planned_request& planned, clock::time_point now)
{
    static_cast<void>(drop_expired_shares(now));
    pb::envelope message = make_envelope();
    pb::follow_request& request = *message.mutable_follow();
    request.set_instance(settings_.instance);
    request.set_incarnation(incarnation_);
    request.set_sequence(planned.sequence);
    request.set_asked_at_ms(to_ms(now));
    request.set_document_version(document_ ? document_->version() : 0);
    request.set_control_term(directory_.term());
    request.set_directory_revision(directory_.revision());
    // An unreadable document is not sent again and again.
    request.set_wants_document(planned.wants_large_parts &&
                               (unreadable_version_ == 0 || newest_version_ > unreadable_version_));
    request.set_wants_directory(planned.wants_large_parts);
    request.set_leaving(is_leaving_);
    request.set_answered_sequence(timely_sequence_);
    request.set_failure_domain(settings_.failure_domain.text());
    if (settings_.home_connections_per_instance > 0) {
        // Only instances that tell their endpoint become homes and get the list of peers.
        request.set_endpoint(make_bus_endpoint(settings_.host, settings_.bus_port));
        request.set_peers_revision(homes_.revision());
    }
    if (!follows_relay() && now - shares_sent_at_ >= share_report_interval(limits_.needs_share())) {
        shares_sent_at_ = now;
        limits_.report_shares(request, share_report_scope::active, is_leaving_, now);
    }
    add_reports(confirmations_.gate().reports(), request);
    for (const std::string& group : connections_.groups()) {
        const primary_sighting sighting = connections_.primary_of(group).sighting(now);
        if (sighting.server.empty()) {
            continue;
        }
        pb::group_sighting& report = *request.add_sightings();
        report.set_group(group);
        report.set_server(sighting.server);
        report.set_reached_ms_ago(sighting.reached_ago ? sighting.reached_ago->count() : -1);
        report.set_failing_for_ms(sighting.failing_for.count());
    }
    messages_->send(plan_.endpoint(), message);
}

bool follower::is_malformed(const pb::follow_reply& reply)
{
    if (reply.confirmed_age_ms() >= 0) {
        return false;
    }
    // A confirmation from the future would outlast the lease.
    events_.decision("control", "reply_malformed")
        .field("from", plan_.endpoint())
        .field("confirmed_age_ms", reply.confirmed_age_ms());
    return true;
}

// Handles the first reply of an endpoint that leads or relays.
void follower::receive_first(const pb::follow_reply& reply)
{
    plan_.hasten(); // a new leader waits for the share reports of all instances
    shares_sent_at_ = clock::time_point{};
    events_.decision("control", "leader_found")
        .field("leader", plan_.endpoint())
        .field("term", static_cast<std::int64_t>(reply.control_term()))
        .field("relays", static_cast<std::int64_t>(reply.relays_size()));
}

void follower::receive(const pb::follow_reply& reply, clock::time_point now, std::string_view from)
{
    const bool is_outdated = reply.control_term() < directory_.term();
    if (reply.is_leader() && (is_outdated || is_malformed(reply))) {
        return;
    }
    if (reply.is_leader() && reply.sequence() == 0 && reply.fences_size() > 0) {
        confirmations_.add(fences_of(reply), now);
        plan_.hasten(); // the sender waits until the fences are applied
        return;
    }
    const bool was_answered = plan_.is_answered();
    const reply_use use = plan_.receive(reply, from, now);
    log_endpoint_change();
    if (use == reply_use::none) {
        return;
    }
    if (reply.has_document()) {
        apply_document(reply.document(), now);
    }
    apply_evacuations(reply, now);
    apply_directory(reply, now);
    if (use != reply_use::all) {
        return;
    }
    newest_version_ = reply.document_version();
    plan_.set_is_behind(!document_ || document_->version() < reply.document_version() ||
                        directory_.revision() != reply.directory_revision());
    const clock::time_point asked_at = from_ms(reply.asked_at_ms());
    if (now - asked_at <= timely_round_trip) {
        timely_sequence_ = reply.sequence();
        timely_request_at_ = asked_at;
    }
    if (!was_answered && plan_.is_answered()) {
        receive_first(reply);
    }
    apply_fleet(reply, now);
    apply_peers(reply, now);
    apply_positions(reply, now);
    if (!drop_expired_shares(now)) {
        limits_.apply_shares(reply, now);
        if (reply.shares_size() > 0) {
            share_waits_.wake_all();
        }
    }
    // The version was the newest one when the leader replied, and so also when the request was
    // sent. A relay tells how long ago it asked.
    const clock::time_point confirmed_at = asked_at - clock::duration(reply.confirmed_age_ms());
    if (document_ && document_->version() >= reply.document_version()) {
        confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    }
    apply_fences(reply, confirmed_at, asked_at, now);
    apply_relays(reply, now);
    close_unneeded_connections();
}

void follower::apply_relays(const pb::follow_reply& reply, clock::time_point now)
{
    const bool had_relays = follows_relay();
    plan_.apply_relays(reply, now);
    log_endpoint_change();
    if (!had_relays && follows_relay()) {
        limits_.drop_shares(now); // the relay has this instance's part
    }
}

void follower::apply_positions(const pb::follow_reply& reply, clock::time_point now)
{
    if (reply.positions_size() > 0) {
        positions_received_at_ = now;
    }
    const clock::time_point asked_at = from_ms(reply.asked_at_ms());
    for (const pb::group_position& each : reply.positions()) {
        if (each.age_ms() < 0) {
            continue; // malformed
        }
        connections_.freshness_of(each.group())
            .record(each.server(), log_position{each.term(), each.index()},
                    asked_at - clock::duration(each.age_ms()));
    }
}

void follower::apply_document(const pb::published_record& record, clock::time_point now)
{
    if (document_ && record.version() <= document_->version()) {
        return;
    }
    unreadable_version_ = record.version(); // unless it proves readable
    const result<std::string> text = decompress_document(record);
    if (!ok(text)) {
        events_.decision("document", "unreadable").field("error", describe(failure(text)));
        return;
    }
    result<std::shared_ptr<const document>> parsed = parser_(value(text));
    if (!ok(parsed)) {
        events_.decision("document", "unreadable").field("error", describe(failure(parsed)));
        return;
    }
    unreadable_version_ = 0;
    document_ = value(std::move(parsed));
    events_.decision("document", "in_force")
        .field("version", static_cast<std::int64_t>(document_->version()))
        .field("routes", static_cast<std::int64_t>(document_->content().routes.size()));
    apply_limits(now);
    plan_.hasten();
    shares_sent_at_ = clock::time_point{};
}

void follower::apply_limits(clock::time_point now)
{
    const double tolerance = settings_.limit_tolerance * tolerance_fraction / live_instances_;
    limits_.apply(*document_, {central_ppm_, tolerance}, now);
    for (const document_group& group : document_->content().groups) {
        connections_.set_limits(group.name, group.connection_limit, live_instances_);
        connections_.set_warm_up(group.name, group.warm_up_per_s, group.warm_up_time);
    }
}

void follower::apply_evacuations(const pb::follow_reply& reply, clock::time_point now)
{
    const std::vector<std::string> domains(reply.evacuated_domains().begin(),
                                           reply.evacuated_domains().end());
    connections_.set_evacuations(domains, reply.evacuation_version(), now);
}

void follower::apply_peers(const pb::follow_reply& reply, clock::time_point now)
{
    const std::uint64_t revision = homes_.revision();
    const std::uint64_t malformed = homes_.malformed_count();
    homes_.apply_peers(reply, now);
    if (homes_.malformed_count() != malformed) {
        events_.decision("control", "peers_malformed")
            .field("from", plan_.endpoint())
            .field("total", static_cast<std::int64_t>(homes_.malformed_count()));
    }
    if (homes_.revision() != revision) {
        events_.decision("control", "peers")
            .field("revision", static_cast<std::int64_t>(homes_.revision()))
            .field("peers", static_cast<std::int64_t>(homes_.size()))
            .field("whole", reply.peers_base_revision() == 0);
    }
}

void follower::apply_directory(const pb::follow_reply& reply, clock::time_point now)
{
    if (directory_.apply(reply, from_ms(reply.asked_at_ms()))) {
        if (reply.servers_size() > 0 && reply.directory_base_revision() == 0) {
            plan_.hasten(); // tells the sender that the large part has arrived
        }
        connections_.set_servers(directory_.servers(now), directory_.is_complete(), now);
    }
}

void follower::apply_fences(const pb::follow_reply& reply, clock::time_point as_of,
                            clock::time_point asked_at, clock::time_point now)
{
    commit_gate::primaries known;
    for (const pb::group_lead& lead : reply.leads()) {
        known[lead.group()] = lead.server();
    }
    const fence_reports before = confirmations_.gate().reports();
    confirmations_.record(fences_of(reply), std::move(known), as_of, asked_at, now);
    for (const auto& [group, report] : confirmations_.gate().reports()) {
        const auto found = before.find(group);
        if (found == before.end() || found->second.id != report.id) {
            plan_.hasten();
        }
    }
}

// Applies what the reply tells about the primaries, the cell's members and the fleet's size.
void follower::apply_fleet(const pb::follow_reply& reply, clock::time_point now)
{
    for (const pb::group_lead& lead : reply.leads()) {
        connections_.primary_of(lead.group())
            .record_control_report(lead.server(), lead.generation(), now);
    }
    if (reply.control_endpoints_size() > 0) {
        plan_.set_members({reply.control_endpoints().begin(), reply.control_endpoints().end()});
    }
    connections_.warm_ups().set_fleet_size(reply.live_instances(), now);
    const bool has_changed =
        reply.live_instances() != live_instances_ || reply.central_ppm() != central_ppm_;
    if (has_changed && reply.live_instances() > 0 && document_) {
        live_instances_ = reply.live_instances();
        central_ppm_ = reply.central_ppm();
        apply_limits(now);
    }
}

} // namespace primrosehead::pooler
