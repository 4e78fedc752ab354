#include "commit_gate.h"

#include <algorithm>
#include <utility>

namespace primrosehead {

namespace {

// Above the interval of requests to control or a relay. Beyond it, a partition may hide from
// control a replica that has just started.
constexpr clock::duration doubtful_age{300};
// A replica answers within milliseconds.
constexpr clock::duration stall_time{100};

} // namespace

void commit_gate::record(const fence_map& fences, primaries known, clock::time_point as_of,
                         clock::time_point asked_at, clock::time_point now)
{
    if (as_of < as_of_) {
        return;
    }
    if (!has_lease(now)) {
        ++lapses_; // promotions may have taken effect meanwhile
        observed_.clear();
    }
    as_of_ = as_of;
    asked_at_ = asked_at;
    primaries_ = std::move(known);
    for (auto each = fences_.begin(); each != fences_.end();) {
        const bool is_lifted = !fences.contains(each->first) && as_of >= applied_at_[each->first];
        if (is_lifted) {
            ++changes_[each->first];
            observed_.erase(each->first);
            applied_at_.erase(each->first);
        }
        each = is_lifted ? fences_.erase(each) : std::next(each);
    }
    add(fences, now);
}

void commit_gate::add(const fence_map& fences, clock::time_point now)
{
    for (const auto& [group, fence] : fences) {
        const auto found = fences_.find(group);
        if (found != fences_.end() && found->second.id >= fence.id) {
            continue;
        }
        fences_[group] = fence;
        applied_at_[group] = now;
        ++changes_[group];
        observed_.erase(group);
    }
}

commit_mark commit_gate::mark(std::string_view group) const
{
    const auto found = changes_.find(group);
    return {lapses_, found == changes_.end() ? 0 : found->second};
}

// Positions of a later term say nothing about the end of an earlier one.
commit_verdict commit_gate::judge(const acknowledged_commit& commit, std::string_view server) const
{
    const auto group = observed_.find(commit.group);
    if (group == observed_.end()) {
        return commit_verdict::unproved;
    }
    const auto found = group->second.find(server);
    if (found == group->second.end()) {
        return commit_verdict::unproved;
    }
    const auto& [position, leads] = found->second;
    if (position.term == commit.position->term && position >= *commit.position) {
        return commit_verdict::confirmed;
    }
    const bool is_decided = leads || position.term > commit.position->term;
    return is_decided ? commit_verdict::unknown : commit_verdict::unproved;
}

commit_decision commit_gate::require_any(const acknowledged_commit& commit,
                                         std::span<const std::string> servers) const
{
    commit_decision decision{commit_verdict::unproved, {}};
    for (const std::string& server : servers) {
        if (server == commit.server) {
            continue;
        }
        if (judge(commit, server) == commit_verdict::confirmed) {
            return {commit_verdict::confirmed, {}};
        }
        decision.servers.push_back(server);
    }
    return decision;
}

commit_decision commit_gate::decide(const acknowledged_commit& commit,
                                    std::span<const std::string> established,
                                    clock::time_point now) const
{
    if (!has_lease(now)) {
        return {commit_verdict::undecided, {}};
    }
    if (!commit.position) {
        return {commit_verdict::unknown, {}}; // nobody could tell who has it
    }
    std::set<std::string, std::less<>> required;
    const auto fence = fences_.find(commit.group);
    if (fence != fences_.end()) {
        required = fence->second.candidates;
        required.erase(commit.server);
    }
    else if (commit.mark != mark(commit.group)) {
        const auto primary = primaries_.find(commit.group);
        if (primary == primaries_.end()) {
            return {commit_verdict::undecided, {}};
        }
        required.insert(primary->second);
    }
    const bool is_outdated = now - asked_at_ >= doubtful_age || asked_at_ - as_of_ >= doubtful_age;
    const bool is_doubtful =
        fence == fences_.end() && (is_outdated || doubtful_from_.contains(commit.group));
    for (const std::string& server : required) {
        const commit_verdict verdict = judge(commit, server);
        if (verdict != commit_verdict::confirmed) {
            return {verdict, {server}};
        }
    }
    return is_doubtful ? require_any(commit, established)
                       : commit_decision{commit_verdict::confirmed, {}};
}

void commit_gate::record_position(std::string_view group, std::string_view server,
                                  log_position position, bool leads)
{
    observed_[std::string(group)].insert_or_assign(std::string(server),
                                                   observation{position, leads});
}

void commit_gate::record_acknowledged(const acknowledged_commit& commit)
{
    if (commit.position && commit.acknowledged_at - commit.sent_at >= stall_time) {
        log_position& from = doubtful_from_[commit.group];
        from = std::max(from, *commit.position);
    }
}

void commit_gate::record_confirmed(const acknowledged_commit& commit)
{
    if (!commit.position) {
        return;
    }
    log_position& newest = confirmed_[commit.group];
    newest = std::max(newest, *commit.position);
    const auto doubtful = doubtful_from_.find(commit.group);
    if (doubtful != doubtful_from_.end() && *commit.position >= doubtful->second) {
        doubtful_from_.erase(doubtful);
    }
}

fence_reports commit_gate::reports() const
{
    fence_reports reports;
    for (const auto& [group, fence] : fences_) {
        const auto found = confirmed_.find(group);
        reports[group] = {fence.id, found == confirmed_.end() ? log_position{} : found->second};
    }
    return reports;
}

} // namespace primrosehead
