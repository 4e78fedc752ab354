// Membership: one change at a time, learners before voters, disks by their registered id.
#include "consensus_core.h"

#include <algorithm>
#include <utility>

namespace primrosehead::consensus {

const pb::member* core::implementation::find_member(std::string_view instance) const
{
    for (const pb::member& member : log.members().members()) {
        if (member.instance() == instance) {
            return &member;
        }
    }
    return nullptr;
}

// True when the sender is a member on the disk that the membership names. A new cell names no disks
// yet.
bool core::implementation::is_from_registered_disk(const pb::consensus_message& message) const
{
    const pb::member* sender = find_member(message.from());
    if (sender == nullptr) {
        return false;
    }
    return sender->disk_id().empty() || sender->disk_id() == message.disk_id() ||
           settings.unsafe.no_disk_check;
}

// False when the membership names another disk for this instance: its own was lost.
bool core::implementation::is_own_disk_registered() const
{
    const pb::member* own = find_member(self());
    return own == nullptr || own->disk_id().empty() || own->disk_id() == settings.disk_id;
}

bool core::implementation::has_unregistered_disks(const pb::membership& members)
{
    return std::any_of(
        members.members().begin(), members.members().end(),
        [](const pb::member& member) { return member.voter() && member.disk_id().empty(); });
}

// True while a new cell's log holds nothing but registrations of its disks. The first other entry
// follows the commit of one, so whoever holds it knows that every member held the registration.
bool core::implementation::is_bootstrapping() const
{
    if (log.snapshot_index() > 0 || !has_unregistered_disks(log.members_at(0))) {
        return false;
    }
    for (std::uint64_t index = 1; index <= log.last_index(); ++index) {
        if (!log.at(index).has_members()) {
            return false;
        }
    }
    return true;
}

pb::membership core::implementation::membership_from_votes() const
{
    pb::membership registered = log.members();
    for (pb::member& member : *registered.mutable_members()) {
        const auto vote = votes.find(member.instance());
        if (member.disk_id().empty() && vote != votes.end()) {
            member.set_disk_id(vote->second);
        }
    }
    return registered;
}

// Fits the role and the peers to the membership in effect.
void core::implementation::on_membership_changed(clock::time_point now)
{
    if (role() != role::leader) {
        const pb::member* own = find_member(self());
        const bool voter = own != nullptr && own->voter() && is_own_disk_registered();
        roles.process(voter ? role_event::became_voter : role_event::became_learner);
        return;
    }
    std::erase_if(peers, [&](const auto& entry) { return find_member(entry.first) == nullptr; });
    for (const pb::member& member : log.members().members()) {
        if (member.instance() == self() || peers.contains(member.instance())) {
            continue;
        }
        peer fresh;
        fresh.next_index = log.last_index();
        fresh.known_since = now;
        peers.emplace(member.instance(), fresh);
    }
    replicate_to_all(now);
}

status core::implementation::check_change_allowed() const
{
    if (role() != role::leader) {
        return error{error_kind::not_leader, "This control instance is not the leader.",
                     leader.empty() ? "Send again once a leader is elected."
                                    : "Send to " + leader + ".",
                     ran::no, settings.election_min};
    }
    if (commit_index < term_start_index) {
        return error{error_kind::no_quorum, "The new leader has not committed its first entry yet.",
                     "Send again in a moment.", ran::no, settings.election_min};
    }
    if (log.members_index() > commit_index) {
        return error{error_kind::version_conflict, "Another membership change is under way.",
                     "Send again once it is committed.", ran::no, settings.election_min};
    }
    return std::monostate{};
}

// Refuses a membership whose majority does not answer: it could never commit.
status core::implementation::check_live_majority(const pb::membership& next,
                                                 clock::time_point now) const
{
    std::size_t voters = 0;
    std::size_t live = 0;
    for (const pb::member& member : next.members()) {
        if (!member.voter()) {
            continue;
        }
        ++voters;
        const auto found = peers.find(member.instance());
        const bool answers = found != peers.end() && found->second.acknowledged_sent_at &&
                             now - *found->second.acknowledged_sent_at < settings.election_min;
        live += member.instance() == self() || answers ? 1 : 0;
    }
    if (live > voters / 2) {
        return std::monostate{};
    }
    return error{error_kind::no_quorum,
                 "Only " + std::to_string(live) + " of the " + std::to_string(voters) +
                     " remaining voters answer.",
                 "Bring a stopped control instance back first.", ran::no, settings.election_min};
}

core::proposal core::implementation::append_membership(pb::membership next, clock::time_point now)
{
    pb::log_entry entry;
    *entry.mutable_members() = std::move(next);
    const std::uint64_t index = append_to_log(std::move(entry));
    on_membership_changed(now);
    return proposal{index, hard_state.term(), {}};
}

result<core::proposal> core::implementation::add_member(const pb::member& added,
                                                        clock::time_point now)
{
    const status allowed = check_change_allowed();
    if (!ok(allowed)) {
        return failure(allowed);
    }
    if (added.instance().empty() || added.disk_id().empty()) {
        return error{error_kind::bad_request, "A new member needs a name and a disk id.",
                     "Take the disk id from the log of the instance's start."};
    }
    if (added.instance() == self()) {
        return error{error_kind::bad_request, "A leader can't replace its own disk.",
                     "Stop this control instance and send again to the next leader."};
    }
    const pb::member* known = find_member(added.instance());
    if (known != nullptr && known->disk_id() == added.disk_id()) {
        return error{error_kind::bad_request, added.instance() + " is a member already.",
                     "Nothing needs to be done."};
    }
    pb::membership next;
    for (const pb::member& member : log.members().members()) {
        if (member.instance() != added.instance()) {
            *next.add_members() = member;
        }
    }
    pb::member* fresh = next.add_members();
    *fresh = added;
    fresh->set_voter(settings.unsafe.no_learner_stage);
    const status survived = check_live_majority(next, now);
    if (!ok(survived)) {
        return failure(survived);
    }
    peers.erase(added.instance());
    return append_membership(std::move(next), now);
}

result<core::proposal> core::implementation::remove_member(std::string_view instance,
                                                           clock::time_point now)
{
    const status allowed = check_change_allowed();
    if (!ok(allowed)) {
        return failure(allowed);
    }
    if (find_member(instance) == nullptr) {
        return error{error_kind::bad_request, std::string(instance) + " is not a member.",
                     "See `primrosectl status` for the members."};
    }
    pb::membership next;
    for (const pb::member& member : log.members().members()) {
        if (member.instance() != instance) {
            *next.add_members() = member;
        }
    }
    const status survived = check_live_majority(next, now);
    if (!ok(survived)) {
        return failure(survived);
    }
    return append_membership(std::move(next), now);
}

// Makes a learner that holds every committed entry durably a voter.
void core::implementation::promote_learner(clock::time_point now)
{
    if (!ok(check_change_allowed())) {
        return;
    }
    for (const pb::member& member : log.members().members()) {
        const auto found = peers.find(member.instance());
        if (member.voter() || found == peers.end() || found->second.match_index < commit_index) {
            continue;
        }
        pb::membership next = log.members();
        for (pb::member& promoted : *next.mutable_members()) {
            promoted.set_voter(promoted.voter() || promoted.instance() == member.instance());
        }
        append_membership(std::move(next), now);
        return;
    }
}

// Registers the new disk of a member that lost its old one.
void core::implementation::register_replacement_disk(const pb::consensus_message& message,
                                                     clock::time_point now)
{
    const pb::member* known = find_member(message.from());
    const auto found = peers.find(message.from());
    if (known == nullptr || found == peers.end() ||
        settings.disk_replacement_timeout.count() == 0) {
        return;
    }
    const clock::time_point heard = found->second.acknowledged_sent_at.value_or(elected_at);
    if (now - heard < settings.disk_replacement_timeout) {
        return;
    }
    pb::member replacement = *known;
    replacement.set_disk_id(message.disk_id());
    static_cast<void>(add_member(replacement, now));
}

} // namespace primrosehead::consensus
