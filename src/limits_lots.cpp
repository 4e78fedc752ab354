#include "limits_lots.h"

#include <algorithm>

namespace primrosehead::limits {

void lots::add(std::int64_t amount, clock::time_point expires_at)
{
    if (amount <= 0) {
        return;
    }
    const auto after = std::ranges::upper_bound(lots_, expires_at, {}, &lot::expires_at);
    lots_.insert(after, lot{amount, expires_at});
    total_ += amount;
}

void lots::add_all(const lots& others)
{
    for (const lot& one : others.lots_) {
        add(one.amount, one.expires_at);
    }
}

void lots::expire(clock::time_point now)
{
    while (!lots_.empty() && lots_.front().expires_at <= now) {
        total_ -= lots_.front().amount;
        lots_.pop_front();
    }
}

std::int64_t lots::take(std::int64_t amount)
{
    std::int64_t taken = 0;
    while (taken < amount && !lots_.empty()) {
        lot& first = lots_.front();
        const std::int64_t part = std::min(amount - taken, first.amount);
        first.amount -= part;
        taken += part;
        if (first.amount == 0) {
            lots_.pop_front();
        }
    }
    total_ -= taken;
    return taken;
}

std::int64_t lots::ending_before(clock::time_point time) const
{
    std::int64_t amount = 0;
    for (const lot& one : lots_) {
        amount += one.expires_at < time ? one.amount : 0;
    }
    return amount;
}

} // namespace primrosehead::limits
