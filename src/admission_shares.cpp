#include "admission_shares.h"

#include <algorithm>

namespace primrosehead::admission {

void fair_shares::enter(const key& owner)
{
    flow& own = flows_[owner];
    if (own.waiting == 0) {
        own.start_tag = std::max(own.start_tag, virtual_time(owner.first));
    }
    ++own.waiting;
}

void fair_shares::leave(const key& owner)
{
    const auto found = flows_.find(owner);
    if (found != flows_.end() && found->second.waiting > 0) {
        --found->second.waiting;
        erase_if_idle(owner);
    }
}

void fair_shares::start(const key& owner, double charged_ms, bool was_waiting)
{
    flow& own = flows_[owner];
    double& level = virtual_times_[owner.first];
    if (was_waiting) {
        level = std::max(level, own.start_tag);
        own.waiting -= std::min(own.waiting, 1U);
    }
    own.start_tag = std::max(own.start_tag, level) + charged_ms;
    ++own.running;
}

void fair_shares::finish(const key& owner, double correction_ms)
{
    const auto found = flows_.find(owner);
    if (found == flows_.end()) {
        return;
    }
    flow& own = found->second;
    own.running -= std::min(own.running, 1U);
    own.start_tag = std::max(own.start_tag + correction_ms, virtual_time(owner.first));
    erase_if_idle(owner);
}

double fair_shares::start_tag(const key& owner) const
{
    const auto found = flows_.find(owner);
    return found == flows_.end() ? virtual_time(owner.first) : found->second.start_tag;
}

std::uint32_t fair_shares::waiting(const key& owner) const
{
    const auto found = flows_.find(owner);
    return found == flows_.end() ? 0 : found->second.waiting;
}

double fair_shares::others_ahead(const key& owner, std::uint32_t own_ahead) const
{
    double ahead = 0;
    const auto first = flows_.lower_bound(key{owner.first, {}});
    for (auto each = first; each != flows_.end() && each->first.first == owner.first; ++each) {
        if (each->first != owner) {
            ahead += std::min(each->second.waiting, own_ahead + 1);
        }
    }
    return ahead;
}

double fair_shares::virtual_time(std::uint32_t priority) const
{
    const auto found = virtual_times_.find(priority);
    return found == virtual_times_.end() ? 0 : found->second;
}

// A new flow would start with the virtual time: a flow that is not ahead of it need not be kept.
// Flows ahead of it are erased with the others once their priority is idle.
void fair_shares::erase_if_idle(const key& owner)
{
    const auto is_idle = [](const flow& each) { return each.waiting == 0 && each.running == 0; };
    const auto found = flows_.find(owner);
    if (is_idle(found->second) && found->second.start_tag <= virtual_time(owner.first)) {
        flows_.erase(found);
    }
    const auto first = flows_.lower_bound(key{owner.first, {}});
    const auto last = flows_.lower_bound(key{owner.first + 1, {}});
    if (std::all_of(first, last, [&](const auto& each) { return is_idle(each.second); })) {
        flows_.erase(first, last);
        virtual_times_.erase(owner.first);
    }
}

} // namespace primrosehead::admission
