#include "limits_expiring_tokens.h"

#include <algorithm>

namespace primrosehead::limits {

void expiring_tokens::add(std::int64_t amount, clock::time_point expires_at)
{
    if (amount <= 0) {
        return;
    }
    const auto position = std::ranges::upper_bound(batches_, expires_at, {}, &batch::expires_at);
    batches_.insert(position, batch{amount, expires_at});
    total_ += amount;
}

void expiring_tokens::add_all(const expiring_tokens& others)
{
    for (const batch& added : others.batches_) {
        add(added.amount, added.expires_at);
    }
}

void expiring_tokens::expire(clock::time_point now)
{
    while (!batches_.empty() && batches_.front().expires_at <= now) {
        total_ -= batches_.front().amount;
        batches_.pop_front();
    }
}

std::int64_t expiring_tokens::take(std::int64_t amount)
{
    std::int64_t taken = 0;
    while (taken < amount && !batches_.empty()) {
        batch& first = batches_.front();
        const std::int64_t part = std::min(amount - taken, first.amount);
        first.amount -= part;
        taken += part;
        if (first.amount == 0) {
            batches_.pop_front();
        }
    }
    total_ -= taken;
    return taken;
}

std::int64_t expiring_tokens::expiring_before(clock::time_point time) const
{
    std::int64_t amount = 0;
    for (const batch& candidate : batches_) {
        amount += candidate.expires_at < time ? candidate.amount : 0;
    }
    return amount;
}

} // namespace primrosehead::limits
