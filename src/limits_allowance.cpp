#include "limits_amounts.h"
#include "limits_bucket.h"
#include "limits_demand.h"
#include "limits_expiring_tokens.h"
#include "primrosehead.pb.h"

#include <primrosehead/limits.h>

#include <algorithm>

namespace primrosehead::limits {

namespace {

// An instance holds the tokens for this much of its recent demand.
constexpr clock::duration supply_time{100};
// Replaces `supply_time` while the leader grants less than the instance wants.
constexpr clock::duration scarce_supply_time{20};
// The tokens for one request are kept ready for this long after the last request.
constexpr clock::duration spare_hold_time{1'000};
// Tokens that expire within this time are returned, so that new ones can be granted.
constexpr clock::duration renewal_lead{250};
// Interval between the reports of an idle organisation.
constexpr clock::duration idle_interval{400};
// A report without a reply after this time no longer holds back the next one.
constexpr clock::duration reply_timeout{20};
// Bounds of the pause after a grant that does not cover the refused requests.
constexpr clock::duration retry_pause_min{4};
constexpr clock::duration retry_pause_max{100};
constexpr clock::duration retry_after_max{5'000};
constexpr std::int64_t milliseconds_per_second = 1'000;
constexpr clock::time_point never = clock::time_point::max();

// Time in which `rate` (thousandths of a request per second) yields `amount`.
clock::duration time_to_mint(std::int64_t amount, std::int64_t rate)
{
    if (rate <= 0) {
        return retry_after_max;
    }
    const std::int64_t required_ms = (amount * milliseconds_per_second + rate - 1) / rate;
    return clock::duration(std::max<std::int64_t>(required_ms, 1));
}

} // namespace

struct allowance::implementation {
    contract terms;
    contract_amounts amounts;
    expiring_tokens granted;
    bucket floor;
    clock::time_point floor_minted_at;
    clock::time_point floor_starts_at = never; // the floor is lent to the leader until then
    demand recent_demand;
    std::int64_t unmet = 0;          // requests refused since the last report
    std::int64_t wanted = 0;         // in the last report
    std::int64_t reported_unmet = 0; // tokens for the refused requests in the last report
    bool is_scarce = false;          // fewer tokens were held after the last grant than wanted
    std::int64_t returned_total = 0;
    std::int64_t used_total = 0;
    std::int64_t reported_used_total = 0;
    clock::time_point reported_at{};
    clock::time_point answered_heartbeat_sent_at{};
    bool is_awaiting_reply = false; // the last report has no reply yet
    clock::time_point paused_until{};
    // Pause after the next grant that does not cover the refused requests.
    clock::duration next_pause = retry_pause_min;

    void set_terms(const contract& changed, clock::time_point now)
    {
        terms = changed;
        amounts = amounts_of(changed);
        floor.cap(amounts.floor_burst);
        if (is_static_split(terms)) {
            floor_starts_at = std::min(floor_starts_at, now);
        }
    }

    void advance(clock::time_point now)
    {
        granted.expire(now);
        const clock::time_point minted_until = std::max(floor_minted_at, floor_starts_at);
        if (now > minted_until) {
            floor.mint(amounts.floor_rate, now - minted_until);
            floor.cap(amounts.floor_burst);
        }
        floor_minted_at = std::max(floor_minted_at, now);
    }

    [[nodiscard]] std::int64_t held() const { return granted.total() + floor.tokens(); }

    // Tokens to hold for recent demand, and for the requests refused since the last report.
    [[nodiscard]] std::int64_t wanted_supply(clock::time_point now) const
    {
        const std::int64_t recent_requests = recent_demand.recent(now);
        const clock::duration horizon = is_scarce ? scarce_supply_time : supply_time;
        const std::int64_t expected =
            recent_requests * tokens_per_request * horizon.count() / demand::window.count();
        const bool is_active = recent_demand.last_request_at() != clock::time_point{} &&
                               now - recent_demand.last_request_at() < spare_hold_time;
        const std::int64_t spare = is_active ? tokens_per_request : 0;
        const std::int64_t rounded_up =
            (expected + tokens_per_request - 1) / tokens_per_request * tokens_per_request;
        return std::max(rounded_up, spare) + unmet * tokens_per_request;
    }

    // A grant that does not cover the refused requests means that the leader's pool is empty: the
    // instance requests more with exponential backoff.
    void pause_after_grant(clock::time_point now)
    {
        if (granted.total() >= reported_unmet) {
            next_pause = retry_pause_min;
            return;
        }
        paused_until = now + next_pause;
        next_pause = std::min(next_pause * 2, retry_pause_max);
    }

    [[nodiscard]] bool is_reply_pending(clock::time_point now) const
    {
        return is_awaiting_reply && now - reported_at < reply_timeout;
    }
};

allowance::allowance(contract terms, clock::time_point now)
    : body_(std::make_unique<implementation>())
{
    body_->floor_minted_at = now;
    body_->set_terms(terms, now);
}

allowance::~allowance() = default;
allowance::allowance(allowance&&) noexcept = default;
allowance& allowance::operator=(allowance&&) noexcept = default;

void allowance::set_contract(contract terms, clock::time_point now)
{
    body_->advance(now);
    body_->set_terms(terms, now);
}

bool allowance::take(clock::time_point now)
{
    body_->advance(now);
    body_->recent_demand.record(now);
    if (!take_on_retry(now)) {
        ++body_->unmet;
        return false;
    }
    return true;
}

bool allowance::take_on_retry(clock::time_point now)
{
    body_->advance(now);
    if (body_->held() < tokens_per_request) {
        return false;
    }
    const std::int64_t taken = body_->granted.take(tokens_per_request);
    body_->floor.take(tokens_per_request - taken);
    body_->used_total += tokens_per_request;
    return true;
}

bool allowance::is_exhausted(clock::time_point now) const
{
    return is_static_split(body_->terms) || now < body_->paused_until;
}

clock::duration allowance::retry_after(clock::time_point now) const
{
    body_->advance(now);
    const std::int64_t shortfall = std::max<std::int64_t>(tokens_per_request - body_->held(), 0);
    const std::int64_t even_share = body_->amounts.rate / std::max(body_->terms.instances, 1U);
    const std::int64_t rate =
        is_static_split(body_->terms) ? body_->amounts.floor_rate : even_share;
    return std::min(time_to_mint(shortfall, rate), retry_after_max);
}

void allowance::add_grant(std::int64_t amount, clock::duration valid, clock::time_point sent_at,
                          clock::time_point now)
{
    if (is_static_split(body_->terms)) {
        return;
    }
    body_->advance(now);
    body_->floor.clear();
    body_->floor_starts_at = body_->floor_starts_at == never
                                 ? now + valid
                                 : std::max(body_->floor_starts_at, now + valid);
    if (sent_at <= body_->answered_heartbeat_sent_at) {
        return;
    }
    body_->answered_heartbeat_sent_at = sent_at;
    body_->is_awaiting_reply = false;
    body_->granted.add(amount, sent_at + valid);
    body_->granted.expire(now);
    body_->is_scarce = body_->granted.total() < body_->wanted;
    body_->pause_after_grant(now);
}

void allowance::fill_report(pb::allowance_report& report, clock::time_point now)
{
    body_->advance(now);
    body_->wanted = body_->wanted_supply(now);
    const std::int64_t surplus = std::max<std::int64_t>(body_->granted.total() - body_->wanted, 0);
    const std::int64_t expiring = body_->granted.expiring_before(now + renewal_lead);
    body_->returned_total += body_->granted.take(std::max(surplus, expiring));
    body_->reported_unmet = body_->unmet * tokens_per_request;
    body_->unmet = 0;
    body_->reported_used_total = body_->used_total;
    body_->reported_at = now;
    body_->is_awaiting_reply = true;
    report.set_held(body_->granted.total());
    report.set_returned_total(body_->returned_total);
    report.set_wanted(body_->wanted);
    report.set_used_total(body_->used_total);
    report.set_unmet(body_->reported_unmet);
}

bool allowance::is_low(clock::time_point now) const
{
    if (is_static_split(body_->terms) || now < body_->paused_until ||
        body_->is_reply_pending(now)) {
        return false;
    }
    body_->advance(now);
    if (body_->unmet > 0) {
        return true;
    }
    // While the leader grants less than is wanted, another report helps only after tokens were
    // used.
    const bool has_changed = !body_->is_scarce || body_->used_total != body_->reported_used_total;
    const bool has_demand = body_->recent_demand.recent(now) > 0;
    return has_changed && has_demand && body_->held() < body_->wanted_supply(now) / 4;
}

bool allowance::is_report_due(clock::time_point now) const
{
    if (is_static_split(body_->terms)) {
        return false;
    }
    body_->advance(now);
    const bool has_content = body_->unmet > 0 || !body_->granted.empty() ||
                             now - body_->recent_demand.last_request_at() < spare_hold_time;
    return has_content || now - body_->reported_at >= idle_interval;
}

} // namespace primrosehead::limits
