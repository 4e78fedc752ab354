// Log replication: append requests and replies, the commit index and the leader lease.
#include "consensus_core.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace primrosehead::consensus {

namespace {

// Returns true when the entries continue the preceding entry without a gap.
bool is_contiguous(const pb::append_request& request)
{
    std::uint64_t expected = request.previous_index();
    return std::all_of(request.entries().begin(), request.entries().end(),
                       [&](const pb::log_entry& entry) { return entry.index() == ++expected; });
}

// Number of heartbeat intervals after which an unanswered message is sent again.
constexpr int resend_interval_heartbeats = 3;

// Returns the largest value that a majority has reached or exceeded. `values` must not be empty.
template <class Value>
Value majority_value(std::vector<Value> values)
{
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

} // namespace

std::uint64_t core::implementation::append_to_log(pb::log_entry entry)
{
    entry.set_term(hard_state.term());
    entry.set_index(log.last_index() + 1);
    log.append(entry);
    out.entries.push_back(std::move(entry));
    return log.last_index();
}

void core::implementation::append_no_op()
{
    pb::log_entry entry;
    entry.set_no_operation(true);
    static_cast<void>(append_to_log(std::move(entry)));
}

void core::implementation::replicate_to_all(clock::time_point now)
{
    for (auto& [instance, target] : peers) {
        replicate_to(instance, target, now);
    }
}

// Sends the entries or snapshot that the member is missing, unless an earlier message is
// unanswered.
void core::implementation::replicate_to(const std::string& instance, peer& target,
                                        clock::time_point now)
{
    const bool has_message_in_flight =
        target.sent_at && now - *target.sent_at < settings.heartbeat * resend_interval_heartbeats;
    if (has_message_in_flight) {
        return;
    }
    if (target.snapshot || log.term_at(target.next_index - 1) == std::nullopt) {
        send_chunk(instance, target, now);
        return;
    }
    std::vector<pb::log_entry> entries =
        log.slice(target.next_index, config::max_append_entries, config::max_append_bytes);
    if (entries.empty()) {
        return;
    }
    target.sent_at = now;
    send_append(instance, target.next_index - 1, std::move(entries), now);
}

// Renews the lease. Carries the entries that the member is missing when no other message is in
// flight.
void core::implementation::send_heartbeat(const std::string& instance, peer& target,
                                          clock::time_point now)
{
    const std::size_t message_count_before = out.messages.size();
    replicate_to(instance, target, now);
    const bool sent_append = out.messages.size() > message_count_before && !target.snapshot;
    if (sent_append) {
        return;
    }
    // All logs agree at index 0, so a member that still needs a snapshot can accept the heartbeat.
    const bool can_match = !target.snapshot && log.term_at(target.next_index - 1).has_value();
    send_append(instance, can_match ? target.next_index - 1 : 0, {}, now);
}

void core::implementation::send_append(const std::string& instance, std::uint64_t previous,
                                       std::vector<pb::log_entry> entries, clock::time_point now)
{
    pb::consensus_message message = message_to(instance);
    pb::append_request* request = message.mutable_append();
    request->set_previous_index(previous);
    request->set_previous_term(previous == 0 ? 0 : log.term_at(previous).value_or(0));
    request->set_commit_index(commit_index);
    request->set_asked_at_ms(to_ms(now));
    for (pb::log_entry& entry : entries) {
        *request->add_entries() = std::move(entry);
    }
    out.messages.push_back(std::move(message));
}

void core::implementation::handle_append_request(const pb::consensus_message& message,
                                                 clock::time_point now)
{
    if (!is_contiguous(message.append())) {
        return;
    }
    if (message.term() < hard_state.term()) {
        send_append_reply(message, false, 0);
        return;
    }
    become_follower(message.term(), message.from(), now);
    leader_contact_at = now;
    const pb::append_request& request = message.append();
    if (request.previous_index() < commit_index) {
        // The committed prefix of this log is identical in the log of every leader.
        send_append_reply(message, true, commit_index);
        return;
    }
    if (log.term_at(request.previous_index()) != request.previous_term()) {
        send_append_reply(message, false, rejection_hint(request));
        return;
    }
    const std::uint64_t last_match = merge_entries(request);
    on_membership_changed(now);
    commit_through(std::min(request.commit_index(), last_match));
    send_append_reply(message, true, last_match);
}

// Appends the entries that are not in the log yet, after removing conflicting ones. Returns the
// last index up to which the log is known to match the leader's.
std::uint64_t core::implementation::merge_entries(const pb::append_request& request)
{
    std::uint64_t last_match = request.previous_index();
    for (const pb::log_entry& entry : request.entries()) {
        last_match = entry.index();
        if (log.term_at(last_match) == entry.term()) {
            continue;
        }
        if (last_match <= log.last_index()) {
            log.truncate_from(last_match);
            durable_index = std::min(durable_index, last_match - 1);
            out.truncate_from = last_match;
        }
        log.append(entry);
        out.entries.push_back(entry);
    }
    return last_match;
}

// Returns the index after which the leader should resume: the end of the log, or the entry before
// the conflicting term.
std::uint64_t core::implementation::rejection_hint(const pb::append_request& request) const
{
    const std::uint64_t previous = request.previous_index();
    if (previous > log.last_index()) {
        return log.last_index();
    }
    if (!log.contains(previous)) {
        return commit_index;
    }
    return std::max(commit_index, log.first_index_of_term(previous) - 1);
}

void core::implementation::send_append_reply(const pb::consensus_message& message, bool accepted,
                                             std::uint64_t match_index)
{
    pb::consensus_message reply_message = message_to(message.from());
    pb::append_reply* reply = reply_message.mutable_append_answer();
    reply->set_accepted(accepted);
    reply->set_match_index(match_index);
    reply->set_asked_at_ms(message.append().asked_at_ms());
    out.messages.push_back(std::move(reply_message));
}

void core::implementation::handle_append_reply(const pb::consensus_message& message,
                                               clock::time_point now)
{
    if (!is_from_registered_disk(message)) {
        register_replacement_disk(message, now);
        return;
    }
    if (message.term() > hard_state.term()) {
        become_follower(message.term(), {}, now);
        return;
    }
    const auto peer_it = peers.find(message.from());
    if (role() != role::leader || message.term() != hard_state.term() || peer_it == peers.end()) {
        return;
    }
    peer& target = peer_it->second;
    const pb::append_reply& reply = message.append_answer();
    record_reply(target, from_ms(reply.asked_at_ms()), now);
    if (!reply.accepted()) {
        rewind_next_index(message.from(), target, reply.match_index(), now);
        return;
    }
    if (reply.match_index() > log.last_index()) {
        return; // a leader's log is shorter than a follower's only if its disk lost synced data
    }
    target.match_index = std::max(target.match_index, reply.match_index());
    if (target.match_index >= target.next_index) {
        target.next_index = target.match_index + 1;
        target.sent_at.reset();
    }
    if (target.snapshot && target.match_index >= target.snapshot->last_index()) {
        target.snapshot.reset();
        target.sent_at.reset();
    }
    advance_commit(now);
    promote_learner(now);
    if (role() == role::leader) {
        replicate_to(message.from(), target, now);
    }
}

void core::implementation::record_reply(peer& target, clock::time_point acknowledged_sent_at,
                                        clock::time_point now)
{
    const clock::time_point sent_at = std::min(acknowledged_sent_at, now);
    target.acknowledged_sent_at = std::max(target.acknowledged_sent_at.value_or(sent_at), sent_at);
}

// Retries from an earlier entry. If the hint does not move `next_index` back, the retry is left to
// the next heartbeat: a member that lost entries it had acknowledged would otherwise be sent the
// same message in an endless loop.
void core::implementation::rewind_next_index(const std::string& instance, peer& target,
                                             std::uint64_t hint, clock::time_point now)
{
    const std::uint64_t next = std::max(target.match_index, hint) + 1;
    if (target.snapshot || next >= target.next_index) {
        return;
    }
    target.next_index = next;
    target.sent_at.reset();
    replicate_to(instance, target, now);
}

// While a new cell bootstraps, an entry counts only once every member has stored it, so that a cell
// that loses some of its disks later cannot be mistaken for a new one.
std::uint64_t core::implementation::majority_index() const
{
    std::vector<std::uint64_t> reached_indexes;
    for (const pb::member& member : log.members().members()) {
        if (!member.voter()) {
            continue;
        }
        const auto peer_it = peers.find(member.instance());
        const std::uint64_t peer_match_index =
            peer_it == peers.end() ? 0 : peer_it->second.match_index;
        reached_indexes.push_back(member.instance() == self() ? durable_index : peer_match_index);
    }
    if (reached_indexes.empty()) {
        return 0;
    }
    if (is_bootstrapping()) {
        return *std::min_element(reached_indexes.begin(), reached_indexes.end());
    }
    return majority_value(std::move(reached_indexes));
}

clock::time_point
core::implementation::majority_contact_at(clock::time_point now,
                                          clock::time_point default_contact_at) const
{
    std::vector<clock::time_point> contact_times;
    for (const pb::member& member : log.members().members()) {
        if (!member.voter()) {
            continue;
        }
        const auto peer_it = peers.find(member.instance());
        const bool answered = peer_it != peers.end() && peer_it->second.acknowledged_sent_at;
        const clock::time_point peer_contact_at =
            answered ? std::max(default_contact_at, *peer_it->second.acknowledged_sent_at)
                     : default_contact_at;
        contact_times.push_back(member.instance() == self() ? now : peer_contact_at);
    }
    return contact_times.empty() ? default_contact_at : majority_value(std::move(contact_times));
}

bool core::implementation::is_current(clock::time_point now) const
{
    if (role() != role::leader || commit_index < term_start_index) {
        return false;
    }
    if (settings.unsafe.no_leader_lease) {
        return true;
    }
    return contact_age(now) < settings.election_min * 9 / 10;
}

clock::duration core::implementation::contact_age(clock::time_point now) const
{
    const clock::time_point expired_at = now - settings.election_min;
    return now - majority_contact_at(now, expired_at);
}

void core::implementation::advance_commit(clock::time_point now)
{
    const std::uint64_t majority = majority_index();
    const bool is_own_term = log.term_at(majority) == hard_state.term();
    if (majority <= commit_index || !(is_own_term || settings.unsafe.commit_older_terms)) {
        return;
    }
    const bool was_bootstrapping = is_bootstrapping();
    commit_through(majority);
    if (was_bootstrapping) {
        append_no_op();
        replicate_to_all(now);
    }
    const bool self_removed = find_member(self()) == nullptr || !find_member(self())->voter();
    if (self_removed && log.members_index() <= commit_index) {
        step_down(now);
        return;
    }
    promote_learner(now);
}

void core::implementation::commit_through(std::uint64_t index)
{
    while (commit_index < index) {
        ++commit_index;
        out.committed.push_back(log.at(commit_index));
    }
}

} // namespace primrosehead::consensus
