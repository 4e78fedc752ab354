#include <primrosehead/lease.h>

#include <algorithm>

namespace primrosehead {

lease_table::lease_table(clock::time_point elected_at, clock::duration lease)
    : previous_leases_end_(elected_at + lease + lease_margin), lease_(lease)
{
}

// An earlier version than before means a restarted instance, or a late message: either way the
// lower one is the safe one to wait for.
void lease_table::record_grant(const instance_name& instance, std::uint64_t version,
                               clock::time_point now)
{
    lease_entry& held = leases_[instance];
    held.version = version;
    held.expires_at = std::max(held.expires_at, now + lease_ + lease_margin);
}

void lease_table::record_confirmation(const instance_name& instance, std::uint64_t version)
{
    const auto found = leases_.find(instance);
    if (found != leases_.end()) {
        found->second.version = std::max(found->second.version, version);
    }
}

bool lease_table::may_act_before(const lease_entry& held, std::uint64_t version,
                                 clock::time_point now) noexcept
{
    return held.version < version && now < held.expires_at;
}

bool lease_table::none_before(std::uint64_t version, clock::time_point now) const
{
    if (now < previous_leases_end_) {
        return false;
    }
    return std::ranges::none_of(
        leases_, [&](const auto& entry) { return may_act_before(entry.second, version, now); });
}

std::vector<instance_name> lease_table::holders_before(std::uint64_t version,
                                                       clock::time_point now) const
{
    std::vector<instance_name> waiting;
    for (const auto& [instance, held] : leases_) {
        if (may_act_before(held, version, now)) {
            waiting.push_back(instance);
        }
    }
    return waiting;
}

} // namespace primrosehead
