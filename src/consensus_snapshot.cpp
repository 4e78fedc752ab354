// Snapshots sent by chunks to members that lack entries which are no longer held.
#include "consensus_core.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <utility>

namespace primrosehead::consensus {

// Sends the next chunk of the transfer, which stays with its snapshot though the log is compacted
// again meanwhile.
void core::implementation::send_chunk(const std::string& instance, peer& to, clock::time_point now)
{
    if (!to.snapshot) {
        to.snapshot = log.snapshot();
        to.snapshot_offset = 0;
    }
    const std::string& state = to.snapshot->state();
    const std::size_t size =
        std::min(config::snapshot_chunk_bytes, state.size() - to.snapshot_offset);
    pb::consensus_message message = message_to(instance);
    pb::snapshot_chunk* chunk = message.mutable_snapshot();
    chunk->set_last_index(to.snapshot->last_index());
    chunk->set_last_term(to.snapshot->last_term());
    *chunk->mutable_members() = to.snapshot->members();
    chunk->set_offset(to.snapshot_offset);
    chunk->set_data(state.substr(to.snapshot_offset, size));
    chunk->set_last(to.snapshot_offset + size == state.size());
    chunk->set_asked_at_ms(to_ms(now));
    to.sent_at = now;
    out.messages.push_back(std::move(message));
}

void core::implementation::handle_chunk(const pb::consensus_message& message, clock::time_point now)
{
    const pb::snapshot_chunk& chunk = message.snapshot();
    if (message.term() < hard_state.term()) {
        send_chunk_reply(message, false, 0);
        return;
    }
    become_follower(message.term(), message.from(), now);
    leader_contact_at = now;
    const bool held = log.term_at(chunk.last_index()) == chunk.last_term();
    if (chunk.last_index() <= commit_index || held) {
        // Nothing may be dropped here: entries after it were acknowledged.
        commit_through(chunk.last_index());
        incoming.reset();
        send_chunk_reply(message, true, 0);
        return;
    }
    const bool same =
        incoming && incoming->from == message.from() && incoming->term == message.term() &&
        incoming->last_index == chunk.last_index() && incoming->last_term == chunk.last_term();
    if (!same) {
        incoming = snapshot_transfer{
            message.from(), message.term(), chunk.last_index(), chunk.last_term(), {}};
    }
    if (chunk.offset() != incoming->state.size()) {
        send_chunk_reply(message, false, incoming->state.size());
        return;
    }
    incoming->state += chunk.data();
    const std::uint64_t received = incoming->state.size();
    if (chunk.last()) {
        install_snapshot(chunk);
        on_membership_changed(now);
    }
    send_chunk_reply(message, chunk.last(), received);
}

void core::implementation::install_snapshot(const pb::snapshot_chunk& chunk)
{
    auto record = std::make_shared<pb::snapshot_record>();
    record->set_last_index(chunk.last_index());
    record->set_last_term(chunk.last_term());
    *record->mutable_members() = chunk.members();
    record->set_state(std::move(incoming->state));
    incoming.reset();
    out.snapshot = *record;
    out.restore_state = record->state();
    commit_index = chunk.last_index();
    log.reset(std::move(record));
}

void core::implementation::send_chunk_reply(const pb::consensus_message& message, bool installed,
                                            std::uint64_t received)
{
    pb::consensus_message reply_message = message_to(message.from());
    pb::snapshot_reply* reply = reply_message.mutable_snapshot_answer();
    reply->set_last_index(message.snapshot().last_index());
    reply->set_received(received);
    reply->set_installed(installed);
    reply->set_asked_at_ms(message.snapshot().asked_at_ms());
    out.messages.push_back(std::move(reply_message));
}

void core::implementation::handle_chunk_reply(const pb::consensus_message& message,
                                              clock::time_point now)
{
    if (!is_from_registered_disk(message)) {
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
    const pb::snapshot_reply& reply = message.snapshot_answer();
    record_reply(to, from_ms(reply.asked_at_ms()), now);
    if (!to.snapshot || reply.last_index() != to.snapshot->last_index()) {
        return;
    }
    if (!reply.installed() && reply.received() == to.snapshot_offset) {
        return; // answers a duplicate; what was sent last is still under way
    }
    to.sent_at.reset();
    to.snapshot_offset = std::min<std::uint64_t>(reply.received(), to.snapshot->state().size());
    if (reply.installed()) {
        to.match_index = std::max(to.match_index, reply.last_index());
        to.next_index = to.match_index + 1;
        to.snapshot.reset();
        advance_commit(now);
        promote_learner(now);
    }
    if (role() == role::leader) {
        replicate_to(message.from(), to, now);
    }
}

} // namespace primrosehead::consensus
