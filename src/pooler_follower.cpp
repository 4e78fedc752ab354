#include "pooler_follower.h"

#include "cell_token_buckets.h"
#include "document_codec.h"
#include "event_log.h"
#include "pooler_pool.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

// A document takes effect everywhere within a few intervals; a request costs the leader some bytes.
constexpr clock::duration follow_interval{200};
constexpr clock::duration min_follow_interval{20}; // after a change of the leader or the document
// A reply takes a few milliseconds. After this time, another cell instance is tried.
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
// A relay that lost the leader is left after the time of an election, early enough that the lease
// outlasts the search for another one.
constexpr clock::duration stale_relay_age{1'600};
constexpr clock::duration min_relay_stay{500};
// The own relay is silent for `leader_timeout`, and the next one may be too.
constexpr clock::duration relay_switch_time{1'200};
// While other relays are silent as well, operations are refused without asking them each time.
constexpr clock::duration alternative_retry_interval{250};
// Tokens are requested for this time in advance, so that not every operation sends a request.
constexpr clock::duration borrow_lookahead{300};

} // namespace

follower::follower(boost::asio::any_io_executor executor, const pooler_settings& settings,
                   std::uint64_t incarnation, document_parser parser, pool& connections,
                   event_log& events)
    : executor_(std::move(executor)), settings_(settings), incarnation_(incarnation),
      parser_(std::move(parser)), connections_(connections), events_(events),
      lease_(settings.revocation * lease_tenths / 10),
      relays_(settings.instance, settings.failure_domain.text()),
      homes_(settings.instance, settings.regions, settings.homes_per_server)
{
    set_seeds(settings.control);
    connections_.set_regions(settings.regions);
}

void follower::set_seeds(const std::vector<std::string>& addresses)
{
    seeds_.clear();
    for (const std::string& address : addresses) {
        seeds_.insert(make_bus_endpoint(host_of(address), settings_.bus_port));
    }
}

// Returns the best relay or, if there is none, the next of the cell's known members and of the
// addresses from the settings.
std::string follower::next_endpoint(clock::time_point now) const
{
    std::string relay = relays_.choose(now);
    if (!relay.empty()) {
        return relay;
    }
    std::set<std::string> candidates = endpoints_;
    candidates.insert(seeds_.begin(), seeds_.end());
    if (candidates.empty()) {
        return {};
    }
    const auto next = candidates.upper_bound(endpoint_);
    return next == candidates.end() ? *candidates.begin() : *next;
}

void follower::follow_endpoint(const std::string& endpoint, std::string_view reason,
                               clock::time_point now)
{
    endpoint_chosen_at_ = now;
    sends_soon_ = true;
    if (endpoint == endpoint_ || endpoint.empty()) {
        return;
    }
    if (is_answered_) {
        events_.decision("control", "leader_lost")
            .field("leader", endpoint_)
            .field("reason", reason)
            .field("next", endpoint)
            .field("silent_ms", (now - last_reply_at_).count());
        is_answered_ = false;
    }
    if (messages_ != nullptr && !endpoint_.empty()) {
        messages_->disconnect(endpoint_); // its idle connection costs both sides heartbeats
    }
    endpoint_ = endpoint;
}

void follower::tick(clock::time_point now)
{
    limits_.set_isolated(now - timely_request_at_ > isolated_after, now);
    request_missing_tokens(now);
    const bool is_silent = now - std::max(last_reply_at_, endpoint_chosen_at_) > leader_timeout;
    if (endpoint_.empty() || is_silent) {
        relays_.record_failure(endpoint_, now);
        follow_endpoint(next_endpoint(now), "silent", now);
    }
    const clock::duration interval = sends_soon_ ? min_follow_interval : follow_interval;
    if (now - sent_at_ >= interval) {
        send(now);
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
        now - last_reply_at_ > leader_timeout) {
        return;
    }
    tokens_requested_at_ = now;
    pb::envelope message = make_envelope();
    pb::token_request& request = *message.mutable_ask_tokens();
    request.set_instance(settings_.instance);
    limits_.request_missing(request, now);
    if (request.wanted_size() > 0) {
        messages_->send(endpoint_, message);
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
    if (wait.timers.empty() || now - wait.requested_at > borrow_timeout) {
        wait.requested_at = now;
        messages_->send(endpoint, make_token_request(organisation, now));
    }
    net::steady_timer timer(executor_, borrow_timeout);
    const auto position = wait.timers.insert(wait.timers.end(), &timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    token_waits_[organisation].timers.erase(position);
    limiter* const limits_after = limiter_for(organisation);
    co_return limits_after != nullptr && limits_after->try_take_uncounted(clock::now());
}

net::awaitable<bool> follower::borrow_token(const std::string& organisation)
{
    const clock::time_point asked_at = clock::now();
    const bool is_silent = asked_at - last_reply_at_ > leader_timeout;
    if (limiter_for(organisation) == nullptr || central_ppm_ == 0 ||
        (is_silent && !follows_relay())) {
        co_return false;
    }
    if (!is_silent) {
        const std::string endpoint = endpoint_;
        const bool is_granted = co_await request_token(organisation, endpoint);
        if (is_granted || token_waits_[organisation].answered_at >= asked_at) {
            co_return is_granted;
        }
    }
    // The relay may be down or frozen: another one has a share of the limits too.
    const clock::time_point now = clock::now();
    const std::string alternative = relays_.alternative_to(endpoint_, now);
    if (alternative.empty() || now - alternative_silent_at_ < alternative_retry_interval) {
        co_return false;
    }
    const bool is_granted = co_await request_token(organisation, alternative);
    if (token_waits_[organisation].answered_at < now) {
        alternative_silent_at_ = clock::now();
    }
    co_return is_granted;
}

bool follower::is_without_tokens(clock::time_point now) const noexcept
{
    return follows_relay() && now - last_reply_at_ > relay_switch_time;
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
        for (net::steady_timer* timer : wait->second.timers) {
            timer->cancel();
        }
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

void follower::send(clock::time_point now)
{
    if (messages_ == nullptr || endpoint_.empty()) {
        return;
    }
    static_cast<void>(drop_expired_shares(now));
    sends_soon_ = false;
    sent_at_ = now;
    pb::envelope message = make_envelope();
    pb::follow_request& request = *message.mutable_follow();
    request.set_instance(settings_.instance);
    request.set_incarnation(incarnation_);
    request.set_sequence(++sequence_);
    request.set_asked_at_ms(to_ms(now));
    request.set_document_version(document_ ? document_->version() : 0);
    request.set_control_term(control_term_);
    request.set_directory_revision(directory_revision_);
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
    messages_->send(endpoint_, message);
}

void follower::receive(const pb::follow_reply& reply, clock::time_point now)
{
    if (!reply.is_leader()) {
        const bool is_other_instance =
            !reply.leader_hint().empty() && reply.leader_hint() != endpoint_;
        if (is_other_instance && reply.sequence() == sequence_) {
            follow_endpoint(reply.leader_hint(), "redirected", now);
        }
        return;
    }
    if (reply.sequence() == 0 || reply.sequence() <= last_reply_sequence_ ||
        reply.control_term() < control_term_) {
        return;
    }
    if (reply.confirmed_age_ms() < 0) {
        // A confirmation from the future would outlast the lease.
        events_.decision("control", "reply_malformed")
            .field("from", endpoint_)
            .field("confirmed_age_ms", reply.confirmed_age_ms());
        return;
    }
    last_reply_sequence_ = reply.sequence();
    last_reply_at_ = now;
    const clock::time_point asked_at = from_ms(reply.asked_at_ms());
    if (now - asked_at <= timely_round_trip) {
        timely_sequence_ = reply.sequence();
        timely_request_at_ = asked_at;
    }
    if (!is_answered_) {
        is_answered_ = true;
        sends_soon_ = true; // a new leader waits for the share reports of all instances
        shares_sent_at_ = clock::time_point{};
        events_.decision("control", "leader_found")
            .field("leader", endpoint_)
            .field("term", static_cast<std::int64_t>(reply.control_term()))
            .field("relays", static_cast<std::int64_t>(reply.relays_size()));
    }
    if (reply.has_document()) {
        apply_document(reply.document(), now);
    }
    apply_directory(reply, now);
    connections_.warm_ups().set_fleet_size(reply.live_instances(), now);
    apply_peers(reply, now);
    apply_positions(reply);
    if (!drop_expired_shares(now)) {
        limits_.apply_shares(reply, now);
    }
    // The version was the newest one when the leader replied, and so also when the request was
    // sent. A relay tells how long ago it asked.
    const clock::time_point confirmed_at = asked_at - clock::duration(reply.confirmed_age_ms());
    if (document_ && document_->version() >= reply.document_version()) {
        confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    }
    apply_relays(reply, now);
}

// Follows a relay while the leader asks for it: the preferred one, unless it has lost the leader.
void follower::apply_relays(const pb::follow_reply& reply, clock::time_point now)
{
    std::vector<relay_candidate> candidates;
    for (const pb::relay_address& each : reply.relays()) {
        candidates.push_back({each.endpoint(), each.failure_domain()});
    }
    const bool had_relays = relays_.has_relays();
    relays_.set_relays(std::move(candidates));
    if (!relays_.has_relays()) {
        return;
    }
    if (!had_relays) {
        limits_.drop_shares(now); // the relay has this instance's part
    }
    if (reply.confirmed_age_ms() > stale_relay_age.count()) {
        relays_.record_failure(endpoint_, now);
    }
    else {
        relays_.record_success(endpoint_);
    }
    const std::string preferred = relays_.choose(now);
    if (!preferred.empty() && preferred != endpoint_ &&
        now - endpoint_chosen_at_ >= min_relay_stay) {
        follow_endpoint(preferred, "prefers another relay", now);
    }
}

void follower::apply_positions(const pb::follow_reply& reply)
{
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
    document_ = value(std::move(parsed));
    events_.decision("document", "in_force")
        .field("version", static_cast<std::int64_t>(document_->version()))
        .field("routes", static_cast<std::int64_t>(document_->content().routes.size()));
    apply_limits(now);
    sends_soon_ = true;
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

void follower::apply_peers(const pb::follow_reply& reply, clock::time_point now)
{
    const std::uint64_t revision = homes_.revision();
    const std::uint64_t malformed = homes_.malformed_count();
    homes_.apply_peers(reply, now);
    if (homes_.malformed_count() != malformed) {
        events_.decision("control", "peers_malformed")
            .field("from", endpoint_)
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
    if (reply.servers_size() > 0) {
        const std::vector<pb::server_announcement> servers(reply.servers().begin(),
                                                           reply.servers().end());
        connections_.set_servers(servers, reply.directory_complete(), now);
        // An incomplete directory is requested again.
        if (reply.directory_complete()) {
            control_term_ = reply.control_term();
            directory_revision_ = reply.directory_revision();
        }
    }
    for (const pb::group_lead& lead : reply.leads()) {
        connections_.primary_of(lead.group())
            .record_control_report(lead.server(), lead.generation(), now);
    }
    if (reply.control_endpoints_size() > 0) {
        endpoints_ = {reply.control_endpoints().begin(), reply.control_endpoints().end()};
    }
    const bool has_changed =
        reply.live_instances() != live_instances_ || reply.central_ppm() != central_ppm_;
    if (has_changed && reply.live_instances() > 0 && document_) {
        live_instances_ = reply.live_instances();
        central_ppm_ = reply.central_ppm();
        apply_limits(now);
    }
}

} // namespace primrosehead::pooler
