#include <primrosehead/lease.h>

#include <algorithm>

namespace primrosehead {

lease_table::lease_table(clock::time_point elected_at, clock::duration lease)
    : previous_leases_end_(elected_at + lease + lease_margin), lease_(lease)
{
}

// A version lower than the recorded one comes from a restarted instance or a delayed message. In
// both cases the lower version is the safe one to wait for.
void lease_table::record_grant(const instance_name& instance, std::uint64_t version,
                               clock::time_point now)
{
    lease_entry& entry = leases_[instance];
    entry.version = version;
    entry.expires_at = std::max(entry.expires_at, now + lease_ + lease_margin);
}

void lease_table::record_confirmation(const instance_name& instance, std::uint64_t version)
{
    const auto found = leases_.find(instance);
    if (found != leases_.end()) {
        found->second.version = std::max(found->second.version, version);
    }
}

bool lease_table::may_act_before(const lease_entry& entry, std::uint64_t version,
                                 clock::time_point now) noexcept
{
    return entry.version < version && now < entry.expires_at;
}

bool lease_table::none_before(std::uint64_t version, clock::time_point now) const
{
    if (now < previous_leases_end_) {
        return false;
    }
    return std::ranges::none_of(
        leases_, [&](const auto& item) { return may_act_before(item.second, version, now); });
}

std::vector<instance_name> lease_table::holders_before(std::uint64_t version,
                                                       clock::time_point now) const
{
    std::vector<instance_name> holders;
    for (const auto& [instance, entry] : leases_) {
        if (may_act_before(entry, version, now)) {
            holders.push_back(instance);
        }
    }
    return holders;
}

} // namespace primrosehead
