#include "limits_demand.h"

namespace primrosehead::limits {

void demand::record(clock::time_point now)
{
    const std::int64_t number = now.time_since_epoch() / slot_length;
    slot& current = slots_.at(static_cast<std::size_t>(number) % slot_count);
    if (current.number != number) {
        current = {number, 0};
    }
    ++current.requests;
    last_request_at_ = now;
}

std::int64_t demand::recent(clock::time_point now) const
{
    const std::int64_t number = now.time_since_epoch() / slot_length;
    std::int64_t requests = 0;
    for (const slot& candidate : slots_) {
        const bool is_recent = candidate.number > number - static_cast<std::int64_t>(slot_count);
        requests += is_recent ? candidate.requests : 0;
    }
    return requests;
}

} // namespace primrosehead::limits
