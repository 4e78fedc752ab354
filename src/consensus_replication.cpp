// Replication: appends, answers, commit, lease.
#include "consensus_core.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace primrosehead::consensus {

namespace {

// True when the entries follow the one before them without a gap.
bool is_contiguous(const pb::append_request& request)
{
    std::uint64_t expected = request.previous_index();
    return std::all_of(request.entries().begin(), request.entries().end(),
                       [&](const pb::log_entry& entry) { return entry.index() == ++expected; });
}

// An unanswered message is sent again after this many heartbeat intervals.
constexpr int resend_interval_heartbeats = 3;

// The largest value that a majority has reached or passed; `values` is not empty.
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
    for (auto& [instance, to] : peers) {
        replicate_to(instance, to, now);
    }
}

// Sends what the member lacks, unless an earlier message is unanswered.
void core::implementation::replicate_to(const std::string& instance, peer& to,
                                        clock::time_point now)
{
    const bool waiting =
        to.sent_at && now - *to.sent_at < settings.heartbeat * resend_interval_heartbeats;
    if (waiting) {
        return;
    }
    if (to.snapshot || log.term_at(to.next_index - 1) == std::nullopt) {
        send_chunk(instance, to, now);
        return;
    }
    std::vector<pb::log_entry> entries =
        log.slice(to.next_index, config::max_append_entries, config::max_append_bytes);
    if (entries.empty()) {
        return;
    }
    to.sent_at = now;
    send_append(instance, to.next_index - 1, std::move(entries), now);
}

// Renews the lease; carries what the member lacks when nothing else is under way.
void core::implementation::send_heartbeat(const std::string& instance, peer& to,
                                          clock::time_point now)
{
    const std::size_t before = out.messages.size();
    replicate_to(instance, to, now);
    const bool sent_append = out.messages.size() > before && !to.snapshot;
    if (sent_append) {
        return;
    }
    // Every log agrees at index 0, so a member that still lacks a snapshot can accept it.
    const bool can_match = !to.snapshot && log.term_at(to.next_index - 1).has_value();
    send_append(instance, can_match ? to.next_index - 1 : 0, {}, now);
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
        // What is committed here is the same in every leader's log.
        send_append_reply(message, true, commit_index);
        return;
    }
    if (log.term_at(request.previous_index()) != request.previous_term()) {
        send_append_reply(message, false, rejection_hint(request));
        return;
    }
    const std::uint64_t match = merge_entries(request);
    on_membership_changed(now);
    commit_through(std::min(request.commit_index(), match));
    send_append_reply(message, true, match);
}

// Appends what is new, after dropping entries that conflict. Returns the last index that is known
// to be the leader's.
std::uint64_t core::implementation::merge_entries(const pb::append_request& request)
{
    std::uint64_t match = request.previous_index();
    for (const pb::log_entry& entry : request.entries()) {
        match = entry.index();
        if (log.term_at(match) == entry.term()) {
            continue;
        }
        if (match <= log.last_index()) {
            log.truncate_from(match);
            durable_index = std::min(durable_index, match - 1);
            out.truncate_from = match;
        }
        log.append(entry);
        out.entries.push_back(entry);
    }
    return match;
}

// Where the leader should try next: before the whole term that conflicts, or at the log's end.
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
                                             std::uint64_t match)
{
    pb::consensus_message reply_message = message_to(message.from());
    pb::append_reply* reply = reply_message.mutable_append_answer();
    reply->set_accepted(accepted);
    reply->set_match_index(match);
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
    const auto found = peers.find(message.from());
    if (role() != role::leader || message.term() != hard_state.term() || found == peers.end()) {
        return;
    }
    peer& to = found->second;
    const pb::append_reply& reply = message.append_answer();
    record_reply(to, from_ms(reply.asked_at_ms()), now);
    if (!reply.accepted()) {
        rewind_next_index(message.from(), to, reply.match_index(), now);
        return;
    }
    if (reply.match_index() > log.last_index()) {
        return; // only a disk that lost what was synced can be behind its followers
    }
    to.match_index = std::max(to.match_index, reply.match_index());
    if (to.match_index >= to.next_index) {
        to.next_index = to.match_index + 1;
        to.sent_at.reset();
    }
    if (to.snapshot && to.match_index >= to.snapshot->last_index()) {
        to.snapshot.reset();
        to.sent_at.reset();
    }
    advance_commit(now);
    promote_learner(now);
    if (role() == role::leader) {
        replicate_to(message.from(), to, now);
    }
}

void core::implementation::record_reply(peer& to, clock::time_point acknowledged_sent_at,
                                        clock::time_point now)
{
    const clock::time_point asked = std::min(acknowledged_sent_at, now);
    to.acknowledged_sent_at = std::max(to.acknowledged_sent_at.value_or(asked), asked);
}

// Tries an earlier entry. An answer that leads no further back is left to the next heartbeat: a
// member that lost what it acknowledged would otherwise be sent the same message without end.
void core::implementation::rewind_next_index(const std::string& instance, peer& to,
                                             std::uint64_t hint, clock::time_point now)
{
    const std::uint64_t next = std::max(to.match_index, hint) + 1;
    if (to.snapshot || next >= to.next_index) {
        return;
    }
    to.next_index = next;
    to.sent_at.reset();
    replicate_to(instance, to, now);
}

// A new cell's disks are registered once every member holds the registration, so that the loss of
// some disks can't be taken for a new cell later.
std::uint64_t core::implementation::majority_index() const
{
    std::vector<std::uint64_t> reached;
    for (const pb::member& member : log.members().members()) {
        if (!member.voter()) {
            continue;
        }
        const auto found = peers.find(member.instance());
        const std::uint64_t other = found == peers.end() ? 0 : found->second.match_index;
        reached.push_back(member.instance() == self() ? durable_index : other);
    }
    if (reached.empty()) {
        return 0;
    }
    if (is_bootstrapping()) {
        return *std::min_element(reached.begin(), reached.end());
    }
    return majority_value(std::move(reached));
}

clock::time_point
core::implementation::majority_contact_at(clock::time_point now,
                                          clock::time_point default_contact_at) const
{
    std::vector<clock::time_point> asked;
    for (const pb::member& member : log.members().members()) {
        if (!member.voter()) {
            continue;
        }
        const auto found = peers.find(member.instance());
        const bool answered = found != peers.end() && found->second.acknowledged_sent_at;
        const clock::time_point other =
            answered ? std::max(default_contact_at, *found->second.acknowledged_sent_at)
                     : default_contact_at;
        asked.push_back(member.instance() == self() ? now : other);
    }
    return asked.empty() ? default_contact_at : majority_value(std::move(asked));
}

bool core::implementation::is_current(clock::time_point now) const
{
    if (role() != role::leader || commit_index < term_start_index) {
        return false;
    }
    if (settings.unsafe.no_leader_lease) {
        return true;
    }
    const clock::duration lease = settings.election_min * 9 / 10;
    const clock::time_point expired_at = now - settings.election_min;
    return now - majority_contact_at(now, expired_at) < lease;
}

void core::implementation::advance_commit(clock::time_point now)
{
    const std::uint64_t reached = majority_index();
    const bool own_term = log.term_at(reached) == hard_state.term();
    if (reached <= commit_index || !(own_term || settings.unsafe.commit_older_terms)) {
        return;
    }
    const bool formed = is_bootstrapping();
    commit_through(reached);
    if (formed) {
        append_no_op();
        replicate_to_all(now);
    }
    const bool removed = find_member(self()) == nullptr || !find_member(self())->voter();
    if (removed && log.members_index() <= commit_index) {
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
