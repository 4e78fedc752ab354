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
// Tokens are requested for this time in advance, so that not every operation sends a request.
constexpr clock::duration borrow_lookahead{300};

} // namespace

follower::follower(boost::asio::any_io_executor executor, const pooler_settings& settings,
                   std::uint64_t incarnation, document_parser parser, pool& connections,
                   event_log& events)
    : executor_(std::move(executor)), settings_(settings), incarnation_(incarnation),
      parser_(std::move(parser)), connections_(connections), events_(events),
      lease_(settings.revocation * lease_tenths / 10)
{
    set_seeds(settings.control);
}

void follower::set_seeds(const std::vector<std::string>& addresses)
{
    seeds_.clear();
    for (const std::string& address : addresses) {
        seeds_.insert(make_bus_endpoint(host_of(address), settings_.bus_port));
    }
}

limiter* follower::limiter_for(std::string_view organisation)
{
    const auto found = limits_.find(organisation);
    return found == limits_.end() ? nullptr : &found->second;
}

// Cycles through the known members of the cell and the addresses from the settings.
void follower::choose_next_endpoint()
{
    std::set<std::string> candidates = endpoints_;
    candidates.insert(seeds_.begin(), seeds_.end());
    if (candidates.empty()) {
        return;
    }
    auto next = candidates.upper_bound(leader_);
    leader_ = next == candidates.end() ? *candidates.begin() : *next;
}

void follower::tick(clock::time_point now)
{
    const bool is_isolated = now - timely_request_at_ > isolated_after;
    for (auto& [organisation, limits] : limits_) {
        limits.set_isolated(is_isolated, now);
    }
    request_missing_tokens(now);
    const bool is_silent = now - std::max(last_reply_at_, leader_chosen_at_) > leader_timeout;
    if (leader_.empty() || is_silent) {
        if (has_leader_) {
            events_.decision("control", "leader_lost")
                .field("leader", leader_)
                .field("silent_ms", (now - last_reply_at_).count());
            has_leader_ = false;
        }
        choose_next_endpoint();
        leader_chosen_at_ = now;
        sends_soon_ = true;
    }
    const clock::duration interval = sends_soon_ ? min_follow_interval : follow_interval;
    if (now - sent_at_ >= interval) {
        send(now);
    }
}

// Omits organisations that have neither a share nor operations at this instance.
void follower::report_shares(pb::follow_request& request, clock::time_point now)
{
    request.set_tells_shares(true);
    for (auto& [organisation, limits] : limits_) {
        const double demand = is_leaving_ ? 0 : limits.demand(now);
        if (limits.share() == 0 && (is_leaving_ || !limits.needs_share())) {
            continue;
        }
        pb::share_report& report = *request.add_shares();
        report.set_organisation(organisation);
        report.set_share_ppm(limits.share());
        report.set_demand_per_s(demand);
    }
}

pb::envelope follower::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings_.cell.text());
    message.set_from(settings_.instance);
    return message;
}

// Requests the tokens that organisations lack up to their capacity.
void follower::request_missing_tokens(clock::time_point now)
{
    const bool is_due = now - tokens_requested_at_ >= token_request_interval;
    if (!is_due || messages_ == nullptr || central_ppm_ == 0 ||
        now - last_reply_at_ > leader_timeout) {
        return;
    }
    tokens_requested_at_ = now;
    pb::envelope message = make_envelope();
    pb::token_request& request = *message.mutable_ask_tokens();
    request.set_instance(settings_.instance);
    for (auto& [organisation, limits] : limits_) {
        const std::uint32_t missing = limits.missing_tokens(now);
        if (missing > 0) {
            pb::token_amount& amount = *request.add_wanted();
            amount.set_organisation(organisation);
            amount.set_tokens(missing);
        }
    }
    if (request.wanted_size() > 0) {
        messages_->send(leader_, message);
    }
}

net::awaitable<bool> follower::borrow_token(const std::string& organisation)
{
    const clock::time_point now = clock::now();
    limiter* const limits = limiter_for(organisation);
    if (limits == nullptr || central_ppm_ == 0 || now - last_reply_at_ > leader_timeout) {
        co_return false;
    }
    token_wait& wait = token_waits_[organisation];
    if (wait.timers.empty() || now - wait.requested_at > borrow_timeout) {
        wait.requested_at = now;
        pb::envelope message = make_envelope();
        message.mutable_ask_tokens()->set_instance(settings_.instance);
        pb::token_amount& amount = *message.mutable_ask_tokens()->add_wanted();
        amount.set_organisation(organisation);
        const double lookahead_tokens =
            limits->demand(now) * static_cast<double>(borrow_lookahead.count()) / 1'000;
        amount.set_tokens(1 + static_cast<std::uint32_t>(lookahead_tokens));
        messages_->send(leader_, message);
    }
    net::steady_timer timer(executor_, borrow_timeout);
    const auto position = wait.timers.insert(wait.timers.end(), &timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    token_waits_[organisation].timers.erase(position);
    limiter* const limits_after = limiter_for(organisation);
    co_return limits_after != nullptr && limits_after->try_take_uncounted(clock::now());
}

void follower::receive_tokens(const pb::token_reply& reply, clock::time_point now)
{
    for (const pb::token_amount& granted : reply.granted()) {
        limiter* const limits = limiter_for(granted.organisation());
        if (limits != nullptr) {
            limits->add_granted_tokens(granted.tokens(), now);
        }
        for (net::steady_timer* timer : token_waits_[granted.organisation()].timers) {
            timer->cancel();
        }
    }
}

// The leader reassigns the shares of an instance that it has not heard from for a lease.
bool follower::drop_expired_shares(clock::time_point now)
{
    const bool is_overdue = now - confirmed_at_ > lease_;
    if (is_overdue) {
        for (auto& [organisation, limits] : limits_) {
            limits.drop_share(now);
        }
    }
    return is_overdue;
}

void follower::send(clock::time_point now)
{
    if (messages_ == nullptr || leader_.empty()) {
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
    const bool needs_share = std::any_of(
        limits_.begin(), limits_.end(), [](const auto& item) { return item.second.needs_share(); });
    if (now - shares_sent_at_ >= share_report_interval(needs_share)) {
        shares_sent_at_ = now;
        report_shares(request, now);
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
    messages_->send(leader_, message);
}

void follower::receive(const pb::follow_reply& reply, clock::time_point now)
{
    if (!reply.is_leader()) {
        const bool is_other_instance =
            !reply.leader_hint().empty() && reply.leader_hint() != leader_;
        if (is_other_instance && reply.sequence() == sequence_) {
            leader_ = reply.leader_hint();
            leader_chosen_at_ = now;
            sends_soon_ = true;
        }
        return;
    }
    if (reply.sequence() == 0 || reply.sequence() <= last_reply_sequence_ ||
        reply.control_term() < control_term_) {
        return;
    }
    last_reply_sequence_ = reply.sequence();
    last_reply_at_ = now;
    if (now - from_ms(reply.asked_at_ms()) <= timely_round_trip) {
        timely_sequence_ = reply.sequence();
        timely_request_at_ = from_ms(reply.asked_at_ms());
    }
    if (!has_leader_) {
        has_leader_ = true;
        sends_soon_ = true; // a new leader waits for the share reports of all instances
        shares_sent_at_ = clock::time_point{};
        events_.decision("control", "leader_found")
            .field("leader", leader_)
            .field("term", static_cast<std::int64_t>(reply.control_term()));
    }
    if (reply.has_document()) {
        apply_document(reply.document(), now);
    }
    apply_directory(reply, now);
    if (!drop_expired_shares(now)) {
        apply_shares(reply, now);
    }
    // The version was the newest one when the leader replied, and so also when the request was
    // sent.
    if (document_ && document_->version() >= reply.document_version()) {
        confirmed_at_ = std::max(confirmed_at_, from_ms(reply.asked_at_ms()));
    }
}

void follower::apply_shares(const pb::follow_reply& reply, clock::time_point now)
{
    for (const pb::share_grant& grant : reply.shares()) {
        if (limiter* const limits = limiter_for(grant.organisation())) {
            limits->set_share(grant.share_ppm(), now);
        }
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
    std::erase_if(limits_,
                  [&](const auto& item) { return document_->organisation(item.first) == nullptr; });
    const distributed_fractions distributed{1 - central_ppm_ / 1e6,
                                            1 - cell::central_burst_fraction(central_ppm_)};
    for (const document_organisation& organisation : document_->content().organisations) {
        limits_.try_emplace(organisation.name, now)
            .first->second.set_limits(organisation.rate, organisation.burst, distributed,
                                      settings_.limit_tolerance * tolerance_fraction /
                                          live_instances_);
    }
    for (const document_group& group : document_->content().groups) {
        connections_.set_limits(group.name, group.connection_limit, live_instances_);
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
