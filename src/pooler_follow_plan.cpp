#include "pooler_follow_plan.h"

#include "primrosehead.pb.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace primrosehead::pooler {

namespace {

// A document takes effect everywhere within a few intervals; a request costs the leader some bytes.
constexpr clock::duration follow_interval{200};
constexpr clock::duration min_follow_interval{20}; // after a change of the leader or the document
// A reply takes a few milliseconds. After this time, another control instance is tried. The time
// doubles each time that all known ones were silent: a cell that comes back is found at once, and a
// fleet that waits for a leader sends little.
constexpr clock::duration min_silence{500};
constexpr clock::duration max_silence{4'000};
constexpr std::uint32_t max_doublings = 3;
// A large reply of 80 KB occupies a link of 0.25 MB per second for 0.32 s, and small replies wait
// behind it.
constexpr clock::duration large_reply_time{1'000};
// A relay that lost the leader is left after the time of an election, early enough that the lease
// outlasts the search for another one.
constexpr clock::duration stale_relay_age{1'600};
constexpr clock::duration min_relay_stay{500};
// A control instance learns within a follow interval that it is to serve as a relay.
constexpr clock::duration relay_start_time{1'000};
// A leader that fell silent may still be named by others until they have elected the next one.
constexpr clock::duration silence_memory{2'000};
// During an election, redirects may lead in circles.
constexpr clock::duration min_redirect_interval{150};
constexpr clock::duration max_retry_time{1'000};
// Connections kept open to endpoints that may still answer.
constexpr std::size_t max_kept_connections = 2;

} // namespace

follow_plan::follow_plan(std::string instance, std::string failure_domain)
    : seed_(XXH3_64bits(instance.data(), instance.size())),
      relays_(instance, std::move(failure_domain)), pacer_(instance)
{
}

clock::duration follow_plan::jitter(std::uint64_t attempt, clock::duration bound) const
{
    const std::uint64_t hash = XXH3_64bits_withSeed(&attempt, sizeof attempt, seed_);
    return clock::duration(
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(bound.count())));
}

clock::duration follow_plan::silence_limit(clock::time_point now) const
{
    const std::size_t known = std::max({members_.size(), seeds_.size(), std::size_t{1}});
    const auto rounds = static_cast<std::uint32_t>(switches_ / known);
    const clock::duration base =
        std::min(max_silence, min_silence * (1U << std::min(rounds, max_doublings)));
    // Switches of the first round are not delayed: the lease must outlast them.
    const clock::duration limit = rounds == 0 ? base : base + jitter(switches_, base / 4);
    const bool expects_large_reply = is_answered_ && is_behind_ && pacer_.is_waiting(now);
    return expects_large_reply ? std::max(limit, large_reply_time) : limit;
}

bool follow_plan::was_silent_recently(const std::string& endpoint, clock::time_point now) const
{
    const auto found = silent_at_.find(endpoint);
    return found != silent_at_.end() && now - found->second < silence_memory;
}

// Returns the best relay or, if there is none, the next of the cell's known members and of the
// addresses from the settings. Instances begin at different addresses.
std::string follow_plan::next_endpoint(clock::time_point now) const
{
    std::string relay = relays_.choose(now);
    if (!relay.empty()) {
        return relay;
    }
    std::set<std::string> candidates = members_;
    candidates.insert(seeds_.begin(), seeds_.end());
    if (candidates.empty()) {
        return {};
    }
    if (endpoint_.empty()) {
        return *std::next(candidates.begin(),
                          static_cast<std::ptrdiff_t>(seed_ % candidates.size()));
    }
    const auto next = candidates.upper_bound(endpoint_);
    return next == candidates.end() ? *candidates.begin() : *next;
}

void follow_plan::follow_endpoint(const std::string& endpoint, std::string_view reason,
                                  clock::time_point now)
{
    endpoint_chosen_at_ = now;
    if (endpoint == endpoint_ || endpoint.empty()) {
        return;
    }
    sends_soon_ = true;
    change_ = endpoint_change{endpoint_, endpoint, reason, now - last_reply_at_, is_answered_};
    is_answered_ = false;
    not_before_ = {};
    not_serving_since_ = {};
    std::erase(connected_, endpoint);
    std::erase(unneeded_, endpoint);
    if (!endpoint_.empty()) {
        connected_.push_back(endpoint_);
    }
    if (connected_.size() > max_kept_connections) {
        unneeded_.push_back(connected_.front());
        connected_.erase(connected_.begin());
    }
    endpoint_ = endpoint;
}

void follow_plan::keep_only_current()
{
    unneeded_.insert(unneeded_.end(), connected_.begin(), connected_.end());
    connected_.clear();
    if (asked_endpoint_ != endpoint_) {
        pacer_.record_loss();
    }
}

std::optional<planned_request> follow_plan::next_request(clock::time_point now)
{
    const clock::duration silence = now - std::max(last_reply_at_, endpoint_chosen_at_);
    if (endpoint_.empty()) {
        follow_endpoint(next_endpoint(now), "start", now);
    }
    else if (silence > silence_limit(now)) {
        std::erase_if(silent_at_,
                      [&](const auto& item) { return now - item.second >= silence_memory; });
        silent_at_.insert_or_assign(endpoint_, now);
        relays_.record_failure(endpoint_, now);
        ++switches_;
        follow_endpoint(next_endpoint(now), "silent", now);
    }
    const bool is_soon = sends_soon_ || pacer_.is_retry_due(now);
    const clock::duration interval = is_soon ? min_follow_interval : follow_interval;
    if (endpoint_.empty() || now - sent_at_ < interval || now < not_before_) {
        return std::nullopt;
    }
    sends_soon_ = false;
    sent_at_ = now;
    // The first reply of an endpoint may name a better one, so it is to be small.
    planned_request planned{endpoint_, ++sequence_, is_answered_ && pacer_.is_ready(now)};
    if (planned.wants_large_parts) {
        pacer_.record_request(planned.sequence, now);
        asked_endpoint_ = endpoint_;
    }
    return planned;
}

// Handles the reply of an instance that neither leads nor relays.
void follow_plan::handle_redirect(const pb::follow_reply& reply, clock::time_point now)
{
    pacer_.record_answer(reply.sequence(), clock::duration(0), now);
    if (reply.sequence() != sequence_) {
        return;
    }
    const std::string& hint = reply.leader_hint();
    // Others may go on naming a leader that froze; one elected since was silent as a candidate
    // only.
    const bool is_silent_leader =
        reply.control_term() <= last_term_ && was_silent_recently(hint, now);
    if (hint != endpoint_ && is_silent_leader) {
        endpoint_chosen_at_ = now; // it answers, and will name the next leader
    }
    if (hint.empty() || hint == endpoint_ || is_silent_leader) {
        const clock::duration retry{static_cast<std::int64_t>(reply.retry_after_ms())};
        not_before_ = now + std::min(retry, max_retry_time);
        return;
    }
    if (relays_.has_relays()) {
        // A listed relay that does not serve yet begins to within its follow interval; one that
        // goes on redirecting is no longer a relay.
        if (not_serving_since_ == clock::time_point{}) {
            not_serving_since_ = now;
        }
        if (now - not_serving_since_ < relay_start_time) {
            endpoint_chosen_at_ = now; // it is not silent
            return;
        }
        relays_.record_failure(endpoint_, now);
    }
    if (now - redirected_at_ >= min_redirect_interval) {
        redirected_at_ = now;
        follow_endpoint(hint, "redirected", now);
    }
}

reply_use follow_plan::receive(const pb::follow_reply& reply, std::string_view from,
                               clock::time_point now)
{
    const bool is_from_current = from.empty() || from == endpoint_;
    if (!reply.is_leader()) {
        if (is_from_current) {
            handle_redirect(reply, now);
        }
        return reply_use::none;
    }
    if (reply.sequence() == 0) {
        return reply_use::none;
    }
    pacer_.record_answer(reply.sequence(), clock::duration(reply.retry_after_ms()), now);
    if (reply.sequence() <= last_reply_sequence_) {
        return reply_use::parts;
    }
    last_reply_sequence_ = reply.sequence();
    last_reply_at_ = now;
    last_term_ = std::max(last_term_, reply.control_term());
    if (is_from_current) {
        sends_soon_ = sends_soon_ || !is_answered_;
        is_answered_ = true;
        switches_ = 0;
        not_serving_since_ = {};
        silent_at_.erase(endpoint_);
        keep_only_current();
    }
    return reply_use::all;
}

void follow_plan::apply_relays(const pb::follow_reply& reply, clock::time_point now)
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
    const bool is_stale = reply.confirmed_age_ms() > stale_relay_age.count();
    if (is_stale) {
        relays_.record_failure(endpoint_, now);
    }
    else {
        relays_.record_success(endpoint_);
        stale_relays_ = 0;
    }
    const std::string preferred = relays_.choose(now);
    // While a leader is elected all relays are stale, and it helps nobody to try them all.
    const clock::duration stay = min_relay_stay * (1U << std::min(stale_relays_, max_doublings));
    const bool may_leave = !had_relays || now - endpoint_chosen_at_ >= stay;
    if (!preferred.empty() && preferred != endpoint_ && may_leave) {
        stale_relays_ += is_stale ? 1 : 0;
        follow_endpoint(preferred, "prefers another relay", now);
    }
}

std::optional<endpoint_change> follow_plan::take_change()
{
    return std::exchange(change_, std::nullopt);
}

std::vector<std::string> follow_plan::take_unneeded()
{
    return std::exchange(unneeded_, {});
}

} // namespace primrosehead::pooler
