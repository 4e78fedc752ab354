#include <primrosehead/lease.h>

#include <algorithm>

namespace primrosehead {

lease_keeper::lease_keeper(clock::time_point elected_at, clock::duration lease)
    : old_leases_end_(elected_at + lease + lease_margin), lease_(lease)
{
}

// An earlier version than before means a restarted instance, or a late message: either way the
// lower one is the safe one to wait for.
void lease_keeper::granted(const instance_name& instance, std::uint64_t version,
                           clock::time_point now)
{
    holding& held = holdings_[instance];
    held.version = version;
    held.expires_at = std::max(held.expires_at, now + lease_ + lease_margin);
}

void lease_keeper::confirmed(const instance_name& instance, std::uint64_t version)
{
    const auto found = holdings_.find(instance);
    if (found != holdings_.end()) {
        found->second.version = std::max(found->second.version, version);
    }
}

bool lease_keeper::may_act_before(const holding& held, std::uint64_t version,
                                  clock::time_point now) noexcept
{
    return held.version < version && now < held.expires_at;
}

bool lease_keeper::has_passed(std::uint64_t version, clock::time_point now) const
{
    if (now < old_leases_end_) {
        return false;
    }
    return std::ranges::none_of(
        holdings_, [&](const auto& entry) { return may_act_before(entry.second, version, now); });
}

std::vector<instance_name> lease_keeper::waiting_for(std::uint64_t version,
                                                     clock::time_point now) const
{
    std::vector<instance_name> waiting;
    for (const auto& [instance, held] : holdings_) {
        if (may_act_before(held, version, now)) {
            waiting.push_back(instance);
        }
    }
    return waiting;
}

} // namespace primrosehead
