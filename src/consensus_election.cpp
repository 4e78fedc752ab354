// Leader election: pre-vote, voting and term changes.
#include "consensus_core.h"

#include <algorithm>
#include <utility>

namespace primrosehead::consensus {

void core::implementation::restart_election_timer(clock::time_point now)
{
    const auto jitter_range =
        static_cast<std::uint64_t>((settings.election_max - settings.election_min).count());
    const auto jitter = static_cast<clock::rep>(random() % jitter_range);
    election_deadline = now + settings.election_min + clock::duration(jitter);
}

// Returns true for a voter that runs on its registered disk or belongs to a new cell.
bool core::implementation::can_campaign() const
{
    const pb::member* own_member = find_member(self());
    return own_member != nullptr && own_member->voter() &&
           (is_own_disk_registered() || settings.unsafe.no_disk_check);
}

// A leader that sent a message within election_min may hold a lease, which a vote would violate.
bool core::implementation::has_live_leader(clock::time_point now) const
{
    if (settings.unsafe.no_leader_stickiness) {
        return false;
    }
    return role() == role::leader || now - leader_contact_at < settings.election_min;
}

void core::implementation::campaign(clock::time_point now)
{
    roles.process(role_event::campaign);
    leader.clear();
    restart_election_timer(now);
    if (settings.unsafe.no_pre_vote) {
        become_candidate(now);
        return;
    }
    request_votes(true, now);
}

void core::implementation::become_candidate(clock::time_point now)
{
    roles.process(role_event::pre_vote_won);
    hard_state.set_term(hard_state.term() + 1);
    hard_state.set_voted_for(self());
    save_hard_state();
    restart_election_timer(now);
    request_votes(false, now);
}

void core::implementation::request_votes(bool pre_vote, clock::time_point now)
{
    votes.clear();
    votes[self()] = settings.disk_id;
    for (const pb::member& member : log.members().members()) {
        if (member.instance() == self() || !member.voter()) {
            continue;
        }
        pb::consensus_message message = message_to(member.instance());
        message.set_term(pre_vote ? hard_state.term() + 1 : hard_state.term());
        pb::vote_request* request = message.mutable_vote();
        request->set_pre_vote(pre_vote);
        request->set_last_index(log.last_index());
        request->set_last_term(log.last_term());
        if (log.last_index() == 0 && is_bootstrapping()) {
            *request->mutable_initial_members() = log.members();
        }
        out.messages.push_back(std::move(message));
    }
    count_votes(now);
}

void core::implementation::count_votes(clock::time_point now)
{
    std::size_t voter_count = 0;
    std::size_t granted_count = 0;
    for (const pb::member& member : log.members().members()) {
        voter_count += member.voter() ? 1 : 0;
        granted_count += member.voter() && votes.contains(member.instance()) ? 1 : 0;
    }
    const std::size_t required_count =
        has_unregistered_disks(log.members()) ? voter_count : voter_count / 2 + 1;
    if (granted_count < required_count) {
        return;
    }
    if (role() == role::pre_candidate) {
        become_candidate(now);
    }
    else if (role() == role::candidate) {
        become_leader(now);
    }
}

void core::implementation::become_leader(clock::time_point now)
{
    roles.process(role_event::vote_won);
    leader = self();
    elected_at = now;
    heartbeat_deadline = now + settings.heartbeat;
    pb::log_entry first_entry;
    if (is_bootstrapping()) {
        *first_entry.mutable_members() = membership_from_votes();
    }
    else {
        first_entry.set_no_operation(true);
    }
    peers.clear();
    term_start_index = append_to_log(std::move(first_entry));
    on_membership_changed(now);
}

void core::implementation::become_follower(std::uint64_t term, std::string_view new_leader,
                                           clock::time_point now)
{
    if (term > hard_state.term()) {
        hard_state.set_term(term);
        hard_state.clear_voted_for();
        save_hard_state();
        incoming.reset();
    }
    step_down(now);
    leader = new_leader;
}

void core::implementation::step_down(clock::time_point now)
{
    roles.process(role_event::follow);
    leader.clear();
    votes.clear();
    peers.clear();
    restart_election_timer(now);
    on_membership_changed(now);
}

bool core::implementation::can_grant_vote(const pb::consensus_message& message) const
{
    const pb::vote_request& request = message.vote();
    if (!is_own_disk_registered() && !settings.unsafe.no_disk_check) {
        return false;
    }
    const bool is_newer_term = message.term() > hard_state.term();
    const bool is_vote_available =
        hard_state.voted_for().empty() || hard_state.voted_for() == message.from();
    if (request.pre_vote() ? !is_newer_term : !is_vote_available) {
        return false;
    }
    if (request.last_term() != log.last_term()) {
        return request.last_term() > log.last_term();
    }
    return request.last_index() >= log.last_index();
}

// True if this instance has no members, and the message names it as an initial member of a new
// cell. The cell has not formed: every initial member stores its first entry, and the sender has
// none.
bool core::implementation::can_adopt_members(const pb::consensus_message& message) const
{
    const auto& offered = message.vote().initial_members().members();
    const auto is_offered = [&](std::string_view instance) {
        return std::any_of(offered.begin(), offered.end(),
                           [&](const pb::member& member) { return member.instance() == instance; });
    };
    return log.last_index() == 0 && log.members().members().empty() && is_offered(self()) &&
           is_offered(message.from());
}

void core::implementation::adopt_members(const pb::membership& members, clock::time_point now)
{
    log = entry_log(nullptr, members, {});
    out.initial_members = members;
    on_membership_changed(now);
}

void core::implementation::handle_vote_request(const pb::consensus_message& message,
                                               clock::time_point now)
{
    if (can_adopt_members(message)) {
        adopt_members(message.vote().initial_members(), now);
    }
    if (!is_from_registered_disk(message) || has_live_leader(now)) {
        return;
    }
    if (message.term() < hard_state.term()) {
        send_vote_reply(message, false);
        return;
    }
    const bool is_real_vote = !message.vote().pre_vote();
    if (is_real_vote && message.term() > hard_state.term()) {
        become_follower(message.term(), {}, now);
    }
    const bool granted = can_grant_vote(message);
    if (granted && is_real_vote) {
        hard_state.set_voted_for(message.from());
        save_hard_state();
        restart_election_timer(now);
    }
    send_vote_reply(message, granted);
}

void core::implementation::send_vote_reply(const pb::consensus_message& message, bool granted)
{
    const bool pre_vote = message.vote().pre_vote();
    pb::consensus_message reply_message = message_to(message.from());
    if (granted && pre_vote) {
        reply_message.set_term(message.term());
    }
    reply_message.mutable_vote_answer()->set_pre_vote(pre_vote);
    reply_message.mutable_vote_answer()->set_granted(granted);
    out.messages.push_back(std::move(reply_message));
}

void core::implementation::handle_vote_reply(const pb::consensus_message& message,
                                             clock::time_point now)
{
    if (!is_from_registered_disk(message)) {
        return;
    }
    const pb::vote_reply& reply = message.vote_answer();
    const bool pre_vote_granted = reply.pre_vote() && reply.granted();
    if (message.term() > hard_state.term() && !pre_vote_granted) {
        become_follower(message.term(), {}, now);
        return;
    }
    const std::uint64_t requested_term =
        reply.pre_vote() ? hard_state.term() + 1 : hard_state.term();
    const consensus::role requesting_role =
        reply.pre_vote() ? role::pre_candidate : role::candidate;
    if (!reply.granted() || role() != requesting_role || message.term() != requested_term) {
        return;
    }
    votes[message.from()] = message.disk_id();
    count_votes(now);
}

} // namespace primrosehead::consensus
