#include "cell_relay.h"

#include "cell_reply_parts.h"
#include "cell_share_allocator.h"
#include "cell_token_buckets.h"
#include "promotion_planner.h"

#include <algorithm>
#include <array>
#include <utility>

namespace primrosehead::cell {

namespace {

// A withdrawn key is refused within the lease, which every hop of a confirmation shortens.
constexpr clock::duration follow_interval{200};
// Until the leader asks for relays, it only needs to know that this instance could be one.
// Followers that the leader sends here find it serving after at most this time.
constexpr clock::duration idle_follow_interval{400};
constexpr clock::duration share_report_interval{400};
constexpr clock::duration follower_timeout{1'000}; // several follow requests
// A round trip to the leader and back takes a few milliseconds, within the time that a follower
// waits for its reply.
constexpr clock::duration max_token_wait{45};
constexpr clock::duration token_retry_interval{20};
constexpr clock::duration timely_round_trip{100};
// The leader reserves a relay's part after this time (see cell_token_buckets.h).
constexpr clock::duration isolated_after =
    confirmation_timeout + timely_round_trip + clock::duration(50);
// A change of the followers is reported at most this often, and again while it is unconfirmed.
constexpr clock::duration peers_report_interval{500};
constexpr clock::duration peer_timeout{1'500};
// The leader forgets what it was told by a relay that it does not hear from.
constexpr clock::duration peers_report_lifetime{1'000};
// Leaves room for relays that join or leave while their parts are in use.
constexpr double tolerance_fraction = 0.7;

void set_joined(pb::group_sighting& joined, const pb::group_sighting& one, std::int64_t reached_ago,
                bool is_failing)
{
    joined.set_group(one.group());
    joined.set_server(one.server());
    if (joined.instances() == 0) {
        joined.set_reached_ms_ago(-1);
    }
    if (reached_ago >= 0 &&
        (joined.reached_ms_ago() < 0 || reached_ago < joined.reached_ms_ago())) {
        joined.set_reached_ms_ago(reached_ago);
    }
    if (is_failing && (joined.instances() == 0 || one.failing_for_ms() < joined.failing_for_ms())) {
        joined.set_failing_for_ms(one.failing_for_ms());
    }
    joined.set_instances(joined.instances() + 1);
}

} // namespace

relay::relay(relay_settings settings, std::uint64_t incarnation)
    : settings_(std::move(settings)), incarnation_(incarnation), request_pacer_(settings_.instance)
{
}

std::uint32_t relay::live_followers(clock::time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(followers_.begin(), followers_.end(), [now](const auto& item) {
            return now - item.second.seen_at < follower_timeout;
        }));
}

// Adds at most one large part. The directory of an earlier leader is not passed on.
void relay::add_large_parts(pb::follow_reply& reply, const pb::follow_request& request,
                            const pb::published_record* stored, clock::time_point now)
{
    const bool is_current = directory_.term() == latest_.control_term();
    reply.set_directory_revision(is_current ? directory_.revision() : 0);
    reply.set_directory_complete(is_current && directory_.is_complete());
    if (!request.wants_document() && !request.wants_directory()) {
        return;
    }
    reply_pacer_.release(request.instance());
    const pb::published_record* newest = document_ ? &*document_ : nullptr;
    if (stored != nullptr && (newest == nullptr || stored->version() > newest->version())) {
        newest = stored;
    }
    if (request.wants_document() && !offer_document(reply_pacer_, request, newest, now, reply)) {
        return;
    }
    if (!request.wants_directory() || !is_current || directory_.is_held_by(request)) {
        return;
    }
    std::uint64_t base_revision = 0;
    std::vector<pb::server_announcement> changes =
        directory_.changes_for(request, now, base_revision);
    offer_directory(reply_pacer_, request, std::move(changes), base_revision, now, reply);
}

void relay::add_positions(pb::follow_reply& reply, clock::time_point now) const
{
    for (const auto& [group, observed] : positions_) {
        add_position(reply, group, observed.server, observed.position, now - observed.requested_at);
    }
}

// Instances that leave are reported as such: another relay may still count them as live.
std::vector<relay::reported_peer> relay::live_peers(clock::time_point now) const
{
    std::vector<reported_peer> live;
    for (const auto& [name, follower] : followers_) {
        const bool is_live = now - follower.seen_at < peer_timeout;
        if (is_live && (follower.is_leaving || !follower.endpoint.empty())) {
            live.push_back({name, follower.endpoint, follower.failure_domain, follower.is_leaving});
        }
    }
    return live;
}

void relay::report_peers(pb::follow_request& request, clock::time_point now)
{
    std::vector<reported_peer> live = live_peers(now);
    const auto departures = [](const std::vector<reported_peer>& peers) {
        return std::count_if(peers.begin(), peers.end(),
                             [](const reported_peer& each) { return each.is_leaving; });
    };
    const bool is_known = peers_report_term_ == latest_.control_term() && live == reported_peers_;
    const bool has_departure = departures(live) > departures(reported_peers_);
    if (!is_enabled_ || is_known ||
        (!has_departure && now - peers_reported_at_ < peers_report_interval)) {
        return;
    }
    peers_reported_at_ = now;
    peers_report_sequence_ = request.sequence();
    peers_report_term_ = 0;
    request.set_peers_changed(true);
    for (const reported_peer& each : live) {
        pb::peer_address& peer = *request.add_peers();
        peer.set_instance(each.instance);
        peer.set_endpoint(each.endpoint);
        peer.set_failure_domain(each.failure_domain);
        peer.set_gone(each.is_leaving);
    }
    reported_peers_ = std::move(live);
}

void relay::confirm_report(const pb::follow_reply& reply, clock::time_point asked_at)
{
    if (asked_at - confirmed_at_ > peers_report_lifetime) {
        peers_report_term_ = 0;
    }
    if (reply.sequence() == peers_report_sequence_) {
        peers_report_term_ = reply.control_term();
    }
}

pb::follow_reply relay::follow(const pb::follow_request& request,
                               const pb::published_record* stored, clock::time_point now)
{
    pb::follow_reply reply;
    follower_state& sender = followers_[request.instance()];
    if (sender.incarnation != request.incarnation()) {
        sender = follower_state{};
        sender.incarnation = request.incarnation();
    }
    reply.set_asked_at_ms(request.asked_at_ms());
    reply.set_is_leader(true);
    reply.set_control_term(latest_.control_term());
    if (request.sequence() <= sender.sequence) {
        return reply; // late or repeated: sequence 0 renews nothing
    }
    reply.set_sequence(request.sequence());
    sender.sequence = request.sequence();
    sender.seen_at = now;
    sender.sightings.assign(request.sightings().begin(), request.sightings().end());
    sender.endpoint = request.endpoint();
    sender.failure_domain = request.failure_domain();
    sender.is_leaving = request.leaving();
    reply.set_document_version(latest_.document_version());
    reply.set_confirmed_age_ms((now - confirmed_at_).count());
    add_fences(fences_, reply);
    fence_holders_.record({request.instance(), request.incarnation()}, reports_of(request),
                          confirmed_at_ + commit_lease);
    add_large_parts(reply, request, stored, now);
    *reply.mutable_leads() = latest_.leads();
    *reply.mutable_control_endpoints() = latest_.control_endpoints();
    *reply.mutable_relays() = latest_.relays();
    *reply.mutable_evacuated_domains() = latest_.evacuated_domains();
    reply.set_evacuation_version(latest_.evacuation_version());
    reply.set_live_instances(latest_.live_instances());
    reply.set_central_ppm(full_share_ppm);
    add_positions(reply, now);
    if (!request.endpoint().empty()) {
        peers_.add_to(reply, request.peers_revision(), sender.peers_sent_at, now);
    }
    return reply;
}

pb::token_amount relay::grant(const token_wait& wait, std::uint32_t tokens)
{
    pb::token_amount granted;
    granted.set_organisation(wait.organisation);
    granted.set_tokens(tokens);
    pooler::limiter* const limits = limits_.find(wait.organisation);
    if (tokens == 0 && limits != nullptr) {
        granted.set_retry_after_ms(static_cast<std::uint32_t>(limits->retry_after().count()));
    }
    return granted;
}

std::optional<pb::token_reply> relay::grant_tokens(const bus_origin& origin,
                                                   const pb::token_request& request,
                                                   clock::time_point now)
{
    static_cast<void>(drop_expired_shares(now));
    pb::token_reply reply;
    reply.set_is_leader(true);
    for (const pb::token_amount& wanted : request.wanted()) {
        const token_wait wait{origin, wanted.organisation(), wanted.tokens(), now};
        pooler::limiter* const limits = limits_.find(wanted.organisation());
        if (limits == nullptr || wanted.tokens() == 0) {
            *reply.add_granted() = grant(wait, 0);
            continue;
        }
        std::uint32_t taken = 0;
        while (taken < wanted.tokens() && limits->try_take_counted_if_taken(now)) {
            ++taken;
        }
        if (taken > 0) {
            *reply.add_granted() = grant(wait, taken);
            continue;
        }
        limits->count_arrival();
        token_waits_.push_back(wait);
    }
    return reply.granted_size() > 0 ? std::optional(reply) : std::nullopt;
}

std::vector<delayed_token_reply> relay::take_due_replies(clock::time_point now)
{
    limits_.set_isolated(now - timely_request_at_ > isolated_after, now);
    std::vector<delayed_token_reply> due;
    std::deque<token_wait> waiting;
    for (token_wait& wait : token_waits_) {
        pooler::limiter* const limits = limits_.find(wait.organisation);
        const bool is_granted = limits != nullptr && limits->try_take_uncounted(now);
        const bool is_over = limits == nullptr || now - wait.since >= max_token_wait ||
                             exhausted_.contains(wait.organisation);
        if (!is_granted && !is_over) {
            waiting.push_back(std::move(wait));
            continue;
        }
        delayed_token_reply delayed;
        delayed.origin = wait.origin;
        delayed.reply.set_is_leader(true);
        *delayed.reply.add_granted() = grant(wait, is_granted ? 1 : 0);
        due.push_back(std::move(delayed));
    }
    token_waits_ = std::move(waiting);
    exhausted_.clear();
    return due;
}

// Joins the followers' reports of each server into one of those that it serves and one of those
// that fail to use it.
void relay::join_sightings(pb::follow_request& request, clock::time_point now) const
{
    const std::int64_t threshold = promotion::planner_settings{}.failing_threshold.count();
    using server_key = std::pair<std::string_view, std::string_view>;
    std::map<server_key, std::array<pb::group_sighting, 2>> joined; // served, failing
    for (const auto& [name, follower] : followers_) {
        const std::int64_t age = (now - follower.seen_at).count();
        if (age >= follower_timeout.count()) {
            continue;
        }
        for (const pb::group_sighting& one : follower.sightings) {
            const std::int64_t reached = one.reached_ms_ago() < 0 ? -1 : one.reached_ms_ago() + age;
            const bool is_failing = one.failing_for_ms() >= threshold;
            const bool is_served = reached >= 0 && reached < threshold;
            if (is_failing || is_served) {
                set_joined(joined[{one.group(), one.server()}][is_failing ? 1 : 0], one, reached,
                           is_failing);
            }
        }
    }
    for (const auto& [server, reports] : joined) {
        for (const pb::group_sighting& report : reports) {
            if (report.instances() > 0) {
                *request.add_sightings() = report;
            }
        }
    }
}

// Joins the fences of a reply, or of a notice, which only adds some.
void relay::apply_fences(const pb::follow_reply& reply)
{
    if (reply.control_term() < fences_term_) {
        return;
    }
    fence_map received = fences_of(reply);
    if (reply.sequence() != 0) {
        fences_term_ = reply.control_term();
        fences_ = std::move(received);
        return;
    }
    fences_term_ = reply.control_term(); // a late reply of an earlier leader doesn't lift them
    for (auto& [group, fence] : received) {
        commit_fence& known = fences_[group];
        if (known.id < fence.id) {
            known = std::move(fence);
        }
    }
}

fence_reports relay::applied_fences(clock::time_point now) const
{
    fence_reports applied;
    for (const auto& [group, fence] : fences_) {
        if (fence_holders_.is_applied(group, fence.id, now)) {
            applied[group] = {fence.id, fence_holders_.confirmed(group)};
        }
    }
    return applied;
}

std::optional<fence_notice> relay::take_fence_notice(clock::time_point now)
{
    fence_notice notice;
    notice.instances = fence_holders_.take_unannounced(fences_, now);
    if (notice.instances.empty()) {
        return std::nullopt;
    }
    notice.reply.set_is_leader(true);
    notice.reply.set_control_term(fences_term_);
    add_fences(fences_, notice.reply);
    return notice;
}

std::optional<pb::follow_request> relay::next_follow_request(clock::time_point now)
{
    fence_reports applied = applied_fences(now);
    const bool has_news = std::any_of(applied.begin(), applied.end(), [this](const auto& item) {
        return reported_fences_[item.first] != item.second.id;
    });
    const clock::duration interval = is_enabled_ ? follow_interval : idle_follow_interval;
    if (now - sent_at_ < interval && !has_news) {
        return std::nullopt;
    }
    for (const auto& [group, report] : applied) {
        reported_fences_[group] = report.id;
    }
    fence_holders_.expire(now);
    static_cast<void>(drop_expired_shares(now));
    std::erase_if(followers_,
                  [&](const auto& item) { return now - item.second.seen_at > settings_.lease; });
    sent_at_ = now;
    pb::follow_request request;
    request.set_instance(settings_.instance);
    request.set_incarnation(incarnation_);
    request.set_sequence(++sequence_);
    request.set_asked_at_ms(to_ms(now));
    // The leader's copy counts, so that it is not sent again while the own log is behind.
    request.set_document_version(std::max(limits_document_ ? limits_document_->version() : 0,
                                          document_ ? document_->version() : 0));
    request.set_control_term(directory_.term());
    request.set_directory_revision(directory_.revision());
    request.set_failure_domain(settings_.failure_domain);
    request.set_answered_sequence(timely_sequence_);
    request.set_is_relay(true);
    request.set_is_relaying(is_enabled_);
    request.set_followers(live_followers(now));
    request.set_endpoint(settings_.endpoint);
    request.set_peers_revision(peers_.revision());
    add_reports(applied, request);
    report_peers(request, now);
    if (is_enabled_ && now - shares_sent_at_ >= share_report_interval) {
        shares_sent_at_ = now;
        limits_.report_shares(request, pooler::share_report_scope::all, false, now);
    }
    join_sightings(request, now);
    if (request_pacer_.is_ready(now)) {
        request_pacer_.record_request(sequence_, now);
        request.set_wants_document(true);
        request.set_wants_directory(true);
    }
    return request;
}

std::optional<pb::token_request> relay::next_token_request(clock::time_point now)
{
    if (!is_enabled_ || now - confirmed_at_ > settings_.lease) {
        return std::nullopt;
    }
    pb::token_request request;
    request.set_instance(settings_.instance);
    request.set_is_relay(true);
    if (now - top_up_requested_at_ >= pooler::token_request_interval) {
        top_up_requested_at_ = now;
        limits_.request_missing(request, now);
    }
    std::map<std::string_view, std::uint32_t> waiting;
    for (const token_wait& wait : token_waits_) {
        ++waiting[wait.organisation];
    }
    for (const auto& [organisation, tokens] : waiting) {
        clock::time_point& requested_at = tokens_requested_at_[std::string(organisation)];
        if (now - requested_at >= token_retry_interval) {
            requested_at = now;
            pb::token_amount& amount = *request.add_wanted();
            amount.set_organisation(std::string(organisation));
            amount.set_tokens(tokens);
        }
    }
    return request.wanted_size() > 0 ? std::optional(request) : std::nullopt;
}

bool relay::drop_expired_shares(clock::time_point now)
{
    const bool is_overdue = now - confirmed_at_ > settings_.lease;
    if (is_overdue) {
        limits_.drop_shares(now);
    }
    return is_overdue;
}

void relay::receive(const pb::follow_reply& reply, clock::time_point now)
{
    if (reply.is_leader() && reply.sequence() == 0) {
        apply_fences(reply);
        return;
    }
    const bool is_late = reply.sequence() == 0 || reply.sequence() <= last_reply_sequence_ ||
                         reply.control_term() < latest_.control_term();
    if (!reply.is_leader() || is_late) {
        return;
    }
    const clock::time_point asked_at = from_ms(reply.asked_at_ms());
    if (asked_at > now) {
        return; // malformed: a confirmation from the future would outlast the lease
    }
    last_reply_sequence_ = reply.sequence();
    if (now - asked_at <= timely_round_trip) {
        timely_sequence_ = reply.sequence();
        timely_request_at_ = asked_at;
    }
    const bool has_new_division = reply.central_ppm() != latest_.central_ppm() ||
                                  reply.relays_size() != latest_.relays_size();
    if (!drop_expired_shares(now)) {
        limits_.apply_shares(reply, now);
    }
    confirm_report(reply, asked_at);
    apply_fences(reply);
    confirmed_at_ =
        std::max(confirmed_at_,
                 asked_at - clock::duration(std::max<std::int64_t>(0, reply.confirmed_age_ms())));
    is_enabled_ = reply.relays_size() > 0;
    if (reply.has_document()) {
        document_ = reply.document();
    }
    directory_.apply(reply, asked_at);
    static_cast<void>(peers_.apply(reply));
    request_pacer_.record_answer(reply.sequence(), clock::duration(reply.retry_after_ms()), now);
    latest_ = reply;
    latest_.clear_document();
    latest_.clear_servers();
    latest_.clear_shares();
    latest_.clear_peers();
    latest_.clear_fences();
    if (has_new_division && limits_document_) {
        set_document(limits_document_, now);
    }
}

void relay::receive_tokens(const pb::token_reply& reply, clock::time_point now)
{
    for (const pb::token_amount& granted : reply.granted()) {
        pooler::limiter* const limits = limits_.find(granted.organisation());
        if (limits != nullptr && granted.tokens() > 0) {
            limits->add_granted_tokens(granted.tokens(), now);
        }
        else if (reply.is_leader()) {
            exhausted_.insert(granted.organisation());
        }
    }
}

void relay::set_document(std::shared_ptr<const document> current, clock::time_point now)
{
    limits_document_ = std::move(current);
    const int relays = std::max(1, latest_.relays_size());
    limits_.apply(*limits_document_,
                  {latest_.central_ppm(), settings_.limit_tolerance * tolerance_fraction / relays},
                  now);
}

void relay::record_position(std::string_view group, std::string_view server, log_position position,
                            clock::time_point requested_at)
{
    const auto found = positions_.find(group);
    if (found == positions_.end()) {
        positions_.emplace(std::string(group),
                           observed_position{std::string(server), position, requested_at});
        return;
    }
    observed_position& known = found->second;
    if (position.term >= known.position.term && requested_at >= known.requested_at) {
        known = {std::string(server), position, requested_at};
    }
}

std::vector<relay_lead> relay::leads() const
{
    std::vector<relay_lead> found;
    if (!is_serving()) {
        return found;
    }
    for (const pb::group_lead& lead : latest_.leads()) {
        const pb::server_announcement* const server = directory_.find(lead.server());
        const bool is_available =
            server != nullptr && !server->gone() &&
            std::find(latest_.evacuated_domains().begin(), latest_.evacuated_domains().end(),
                      server->failure_domain()) == latest_.evacuated_domains().end();
        if (is_available) {
            found.push_back({lead.group(), lead.server(), server->address()});
        }
    }
    return found;
}

} // namespace primrosehead::cell
