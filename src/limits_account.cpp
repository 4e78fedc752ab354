#include "limits_account.h"

#include "primrosehead.pb.h"

#include <algorithm>

namespace primrosehead::limits {

namespace {

// The leader counts a grant this much longer than its holder, who counts from an earlier moment:
// covers rounding to milliseconds and the drift of two monotonic clocks over one grant.
constexpr clock::duration grant_margin{5};
constexpr std::size_t max_earlier_incarnations = 8;

} // namespace

bool account::is_late(const heartbeat_id& beat) const
{
    if (beat.incarnation == incarnation_) {
        return beat.sequence <= sequence_;
    }
    return std::ranges::find(earlier_incarnations_, beat.incarnation) !=
           earlier_incarnations_.end();
}

// Grants of the process before can't be heard of again: they count until they end.
void account::start_process(std::uint64_t incarnation)
{
    if (incarnation_ != 0) {
        earlier_incarnations_.push_back(incarnation_);
    }
    if (earlier_incarnations_.size() > max_earlier_incarnations) {
        earlier_incarnations_.pop_front();
    }
    for (const unconfirmed_grant& one : unconfirmed_) {
        of_earlier_processes_.add(one.amount, one.expires_at);
    }
    unconfirmed_.clear();
    of_earlier_processes_.add_all(confirmed_);
    confirmed_ = expiring_tokens{};
    incarnation_ = incarnation;
    returned_total_ = 0;
}

// An instance that took in a reply lends its floor for the grant time from then on.
void account::confirm(std::uint64_t answered, clock::duration grant_time)
{
    while (!unconfirmed_.empty() && unconfirmed_.front().sequence <= answered) {
        const unconfirmed_grant& one = unconfirmed_.front();
        confirmed_.add(one.amount, one.expires_at);
        if (one.sequence == answered) {
            lent_until_ = std::max(lent_until_, one.sent_at + grant_time);
        }
        unconfirmed_.pop_front();
    }
}

bool account::take_in(const heartbeat_id& beat, const pb::allowance_report& report,
                      clock::time_point now, clock::duration grant_time)
{
    if (is_late(beat)) {
        return false;
    }
    if (beat.incarnation != incarnation_) {
        start_process(beat.incarnation);
    }
    sequence_ = beat.sequence;
    confirm(beat.answered, grant_time);
    expire(now);
    const std::int64_t unspent = std::max<std::int64_t>(report.held(), 0);
    const std::int64_t gone = confirmed_.take(confirmed_.total() - unspent);
    const std::int64_t returned = report.returned_total() - returned_total_;
    given_back_ = std::clamp<std::int64_t>(returned, 0, gone);
    returned_total_ = report.returned_total();
    wanted_ = std::max<std::int64_t>(report.wanted(), 0);
    unmet_ = std::clamp<std::int64_t>(report.unmet(), 0, wanted_);
    reported_at_ = now;
    return true;
}

void account::grant(std::uint64_t sequence, std::int64_t amount, clock::time_point now,
                    clock::duration grant_time)
{
    unconfirmed_.push_back({sequence, amount, now, now + grant_time + grant_margin});
}

void account::expire(clock::time_point now)
{
    while (!unconfirmed_.empty() && unconfirmed_.front().expires_at <= now) {
        unconfirmed_.pop_front();
    }
    confirmed_.expire(now);
    of_earlier_processes_.expire(now);
}

std::int64_t account::held() const noexcept
{
    std::int64_t amount = confirmed_.total();
    for (const unconfirmed_grant& one : unconfirmed_) {
        amount += one.amount;
    }
    return amount;
}

std::int64_t account::outstanding() const noexcept
{
    return held() + of_earlier_processes_.total();
}

} // namespace primrosehead::limits
