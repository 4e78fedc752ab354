// Membership changes: one at a time, new members join as learners, and disks are identified by
// their registered ids.
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

// Returns true when the sender is a member and runs on the disk registered for it. A new cell has
// no registered disks yet.
bool core::implementation::is_from_registered_disk(const pb::consensus_message& message) const
{
    const pb::member* sender = find_member(message.from());
    if (sender == nullptr) {
        return false;
    }
    return sender->disk_id().empty() || sender->disk_id() == message.disk_id() ||
           settings.unsafe.no_disk_check;
}

// Returns false when another disk is registered for this instance, which means that the registered
// disk was lost.
bool core::implementation::is_own_disk_registered() const
{
    const pb::member* own_member = find_member(self());
    return own_member == nullptr || own_member->disk_id().empty() ||
           own_member->disk_id() == settings.disk_id;
}

bool core::implementation::has_unregistered_disks(const pb::membership& members)
{
    return std::any_of(
        members.members().begin(), members.members().end(),
        [](const pb::member& member) { return member.voter() && member.disk_id().empty(); });
}

// Returns true while the log of a new cell contains only disk registrations. Any other entry is
// appended after a registration is committed, so its presence proves that every member has stored
// the registration.
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

// Updates the role and the peers to match the membership in effect.
void core::implementation::on_membership_changed(clock::time_point now)
{
    if (role() != role::leader) {
        const pb::member* own_member = find_member(self());
        const bool voter = own_member != nullptr && own_member->voter() && is_own_disk_registered();
        roles.process(voter ? role_event::became_voter : role_event::became_learner);
        return;
    }
    std::erase_if(peers, [&](const auto& entry) { return find_member(entry.first) == nullptr; });
    for (const pb::member& member : log.members().members()) {
        if (member.instance() == self() || peers.contains(member.instance())) {
            continue;
        }
        peer added;
        added.next_index = log.last_index();
        added.known_since = now;
        peers.emplace(member.instance(), added);
    }
    replicate_to_all(now);
}

status core::implementation::check_change_allowed() const
{
    if (role() != role::leader) {
        return error{error_kind::not_leader, "This control instance is not the leader.",
                     leader.empty() ? "Retry once a leader is elected."
                                    : "Send the request to " + leader + ".",
                     ran::no, settings.election_min};
    }
    if (commit_index < term_start_index) {
        return error{error_kind::no_quorum, "The new leader has not committed its first entry yet.",
                     "Retry after a short delay.", ran::no, settings.election_min};
    }
    if (log.members_index() > commit_index) {
        return error{error_kind::version_conflict, "Another membership change is in progress.",
                     "Retry once it is committed.", ran::no, settings.election_min};
    }
    return std::monostate{};
}

// Rejects a membership without a responsive majority, because no entry could be committed under it.
status core::implementation::check_live_majority(const pb::membership& next,
                                                 clock::time_point now) const
{
    std::size_t voter_count = 0;
    std::size_t live_count = 0;
    for (const pb::member& member : next.members()) {
        if (!member.voter()) {
            continue;
        }
        ++voter_count;
        const auto peer_it = peers.find(member.instance());
        const bool is_responsive =
            peer_it != peers.end() && peer_it->second.acknowledged_sent_at &&
            now - *peer_it->second.acknowledged_sent_at < settings.election_min;
        live_count += member.instance() == self() || is_responsive ? 1 : 0;
    }
    if (live_count > voter_count / 2) {
        return std::monostate{};
    }
    return error{error_kind::no_quorum,
                 "Only " + std::to_string(live_count) + " of the " + std::to_string(voter_count) +
                     " remaining voters respond.",
                 "Restart a stopped control instance first.", ran::no, settings.election_min};
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
        return error{error_kind::bad_request, "A new member requires a name and a disk id.",
                     "Take the disk id from the startup log of the instance."};
    }
    if (added.instance() == self()) {
        return error{error_kind::bad_request, "A leader cannot replace its own disk.",
                     "Stop this control instance and retry at the next leader."};
    }
    const pb::member* registered = find_member(added.instance());
    if (registered != nullptr && registered->disk_id() == added.disk_id()) {
        return error{error_kind::bad_request,
                     added.instance() + " is already a member with this disk id.",
                     "No action is required."};
    }
    pb::membership next;
    for (const pb::member& member : log.members().members()) {
        if (member.instance() != added.instance()) {
            *next.add_members() = member;
        }
    }
    pb::member* added_member = next.add_members();
    *added_member = added;
    added_member->set_voter(settings.unsafe.no_learner_stage);
    const status majority_checked = check_live_majority(next, now);
    if (!ok(majority_checked)) {
        return failure(majority_checked);
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
                     "Run `primrosectl status` to list the members."};
    }
    pb::membership next;
    for (const pb::member& member : log.members().members()) {
        if (member.instance() != instance) {
            *next.add_members() = member;
        }
    }
    const status majority_checked = check_live_majority(next, now);
    if (!ok(majority_checked)) {
        return failure(majority_checked);
    }
    return append_membership(std::move(next), now);
}

// Promotes a learner to voter once it has stored every committed entry durably.
void core::implementation::promote_learner(clock::time_point now)
{
    if (!ok(check_change_allowed())) {
        return;
    }
    for (const pb::member& member : log.members().members()) {
        const auto peer_it = peers.find(member.instance());
        if (member.voter() || peer_it == peers.end() ||
            peer_it->second.match_index < commit_index) {
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

// Registers the new disk of an initial member that lost its disk before the cell has formed. It
// holds nothing that was committed: every initial member stores the first entry before that.
void core::implementation::replace_initial_disk(const pb::consensus_message& message,
                                                clock::time_point now)
{
    pb::membership next = log.members();
    for (pb::member& member : *next.mutable_members()) {
        if (member.instance() == message.from()) {
            member.set_disk_id(message.disk_id());
        }
    }
    peers.erase(message.from());
    append_membership(std::move(next), now);
}

// Registers the new disk of a member whose registered disk has been silent for
// `disk_replacement_timeout`.
void core::implementation::register_replacement_disk(const pb::consensus_message& message,
                                                     clock::time_point now)
{
    const pb::member* registered = find_member(message.from());
    const auto peer_it = peers.find(message.from());
    if (registered == nullptr || peer_it == peers.end()) {
        return;
    }
    if (is_bootstrapping()) {
        replace_initial_disk(message, now);
        return;
    }
    if (settings.disk_replacement_timeout.count() == 0) {
        return;
    }
    const clock::time_point last_contact_at =
        peer_it->second.acknowledged_sent_at.value_or(elected_at);
    if (now - last_contact_at < settings.disk_replacement_timeout) {
        return;
    }
    pb::member replacement = *registered;
    replacement.set_disk_id(message.disk_id());
    static_cast<void>(add_member(replacement, now));
}

} // namespace primrosehead::consensus
