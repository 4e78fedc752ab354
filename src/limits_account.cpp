#include "limits_account.h"

#include "primrosehead.pb.h"

#include <algorithm>

namespace primrosehead::limits {

namespace {

// The leader counts a grant as outstanding for this much longer than its holder, which counts from
// an earlier moment. Covers rounding to milliseconds and the drift of two monotonic clocks over one
// grant.
constexpr clock::duration grant_margin{5};
constexpr std::size_t max_earlier_incarnations = 8;

} // namespace

bool account::is_stale(const heartbeat_id& heartbeat) const
{
    if (heartbeat.incarnation == incarnation_) {
        return heartbeat.sequence <= sequence_;
    }
    return std::ranges::find(earlier_incarnations_, heartbeat.incarnation) !=
           earlier_incarnations_.end();
}

// Grants to the previous process can no longer be confirmed or returned: they count as outstanding
// until they expire.
void account::begin_incarnation(std::uint64_t incarnation)
{
    if (incarnation_ != 0) {
        earlier_incarnations_.push_back(incarnation_);
    }
    if (earlier_incarnations_.size() > max_earlier_incarnations) {
        earlier_incarnations_.pop_front();
    }
    for (const unconfirmed_grant& pending : unconfirmed_grants_) {
        earlier_process_tokens_.add(pending.amount, pending.expires_at);
    }
    unconfirmed_grants_.clear();
    earlier_process_tokens_.add_all(confirmed_tokens_);
    confirmed_tokens_ = expiring_tokens{};
    incarnation_ = incarnation;
    returned_total_ = 0;
}

// An instance that accepted a reply lends its floor for the grant time from then on, and it cannot
// have accepted the reply before the leader sent it.
void account::confirm(std::uint64_t acknowledged_sequence, clock::duration grant_time)
{
    while (!unconfirmed_grants_.empty() &&
           unconfirmed_grants_.front().sequence <= acknowledged_sequence) {
        const unconfirmed_grant& pending = unconfirmed_grants_.front();
        confirmed_tokens_.add(pending.amount, pending.expires_at);
        if (pending.sequence == acknowledged_sequence) {
            floor_lent_until_ = std::max(floor_lent_until_, pending.sent_at + grant_time);
        }
        unconfirmed_grants_.pop_front();
    }
}

bool account::apply_report(const heartbeat_id& heartbeat, const pb::allowance_report& report,
                           clock::time_point now, clock::duration grant_time)
{
    if (is_stale(heartbeat)) {
        return false;
    }
    if (heartbeat.incarnation != incarnation_) {
        begin_incarnation(heartbeat.incarnation);
    }
    sequence_ = heartbeat.sequence;
    confirm(heartbeat.acknowledged_sequence, grant_time);
    expire(now);
    const std::int64_t reported_held = std::max<std::int64_t>(report.held(), 0);
    const std::int64_t removed = confirmed_tokens_.take(confirmed_tokens_.total() - reported_held);
    const std::int64_t returned = report.returned_total() - returned_total_;
    last_returned_ = std::clamp<std::int64_t>(returned, 0, removed);
    returned_total_ = report.returned_total();
    wanted_ = std::max<std::int64_t>(report.wanted(), 0);
    unmet_ = std::clamp<std::int64_t>(report.unmet(), 0, wanted_);
    reported_at_ = now;
    return true;
}

void account::grant(std::uint64_t sequence, std::int64_t amount, clock::time_point now,
                    clock::duration grant_time)
{
    unconfirmed_grants_.push_back({sequence, amount, now, now + grant_time + grant_margin});
}

void account::expire(clock::time_point now)
{
    while (!unconfirmed_grants_.empty() && unconfirmed_grants_.front().expires_at <= now) {
        unconfirmed_grants_.pop_front();
    }
    confirmed_tokens_.expire(now);
    earlier_process_tokens_.expire(now);
}

std::int64_t account::held() const noexcept
{
    std::int64_t amount = confirmed_tokens_.total();
    for (const unconfirmed_grant& pending : unconfirmed_grants_) {
        amount += pending.amount;
    }
    return amount;
}

std::int64_t account::outstanding() const noexcept
{
    return held() + earlier_process_tokens_.total();
}

} // namespace primrosehead::limits
