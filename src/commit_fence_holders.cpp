#include "commit_fence_holders.h"

#include <algorithm>
#include <set>
#include <utility>

namespace primrosehead {

void fence_holders::record(const fence_follower& follower, fence_reports applied,
                           clock::time_point lease_end)
{
    // A pooler instance that started again has ended; the followers of a relay go on.
    if (!follower.is_relay) {
        std::erase_if(followers_, [&](const auto& item) {
            return item.first.first == follower.instance &&
                   item.first.second != follower.incarnation;
        });
    }
    for (const auto& [group, report] : applied) {
        log_position& newest = confirmed_[group];
        newest = std::max(newest, report.confirmed);
    }
    holder& each = followers_[{follower.instance, follower.incarnation}];
    each.lease_end = std::max(each.lease_end, lease_end);
    each.applied = std::move(applied);
}

bool fence_holders::applies(const holder& each, std::string_view group, fence_id id)
{
    const auto found = each.applied.find(group);
    return found != each.applied.end() && found->second.id == id;
}

bool fence_holders::is_applied(std::string_view group, fence_id id, clock::time_point now) const
{
    return now >= others_end_ &&
           std::all_of(followers_.begin(), followers_.end(), [&](const auto& item) {
               return now >= item.second.lease_end || applies(item.second, group, id);
           });
}

log_position fence_holders::confirmed(std::string_view group) const
{
    const auto found = confirmed_.find(group);
    return found == confirmed_.end() ? log_position{} : found->second;
}

std::vector<std::string> fence_holders::take_unannounced(const fence_map& fences,
                                                         clock::time_point now)
{
    std::set<std::string> instances;
    for (const auto& [group, fence] : fences) {
        fence_id& announced = announced_[group];
        if (announced == fence.id) {
            continue;
        }
        announced = fence.id;
        for (const auto& [key, each] : followers_) {
            if (now < each.lease_end && !applies(each, group, fence.id)) {
                instances.insert(key.first);
            }
        }
    }
    return {instances.begin(), instances.end()};
}

void fence_holders::expire(clock::time_point now)
{
    std::erase_if(followers_, [now](const auto& item) { return now >= item.second.lease_end; });
}

} // namespace primrosehead
