#include "consensus_core.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <utility>

namespace primrosehead::consensus {

namespace {

error invalid_setting(std::string message, std::string remedy)
{
    return error{error_kind::bad_settings, std::move(message), std::move(remedy)};
}

status validate(const core_settings& settings)
{
    if (settings.instance.empty() || settings.disk_id.empty()) {
        return invalid_setting("The control instance has no name or no disk id.",
                               "Set `instance` in its settings and start it with its data folder.");
    }
    if (settings.heartbeat.count() <= 0 || settings.heartbeat * 2 > settings.election_min) {
        return invalid_setting("`heartbeat` is not positive or exceeds half of `election_min`.",
                               "Set `heartbeat` to a fifth of `election_min` or less.");
    }
    if (settings.election_max <= settings.election_min) {
        return invalid_setting("`election_max` does not exceed `election_min`.",
                               "Set `election_max` to twice `election_min`.");
    }
    return std::monostate{};
}

error corrupt_log_error(std::string message)
{
    return error{
        error_kind::corrupt_storage, std::move(message),
        "Move the data folder away and restart: the instance then joins with a new disk id."};
}

// Removes the entries that the snapshot covers. Returns `error_kind::corrupt_storage` if the log
// has a gap or an entry of a later term than the stored one.
result<std::vector<pb::log_entry>> entries_after(const pb::snapshot_record* snapshot,
                                                 const pb::hard_state& hard_state,
                                                 std::vector<pb::log_entry> entries)
{
    const std::uint64_t covered = snapshot == nullptr ? 0 : snapshot->last_index();
    std::erase_if(entries, [&](const pb::log_entry& entry) { return entry.index() <= covered; });
    std::uint64_t expected = covered;
    for (const pb::log_entry& entry : entries) {
        if (entry.index() != ++expected) {
            return corrupt_log_error("The log has entry " + std::to_string(entry.index()) +
                                     " in place of entry " + std::to_string(expected) + ".");
        }
        if (entry.term() > hard_state.term()) {
            return corrupt_log_error("Entry " + std::to_string(entry.index()) + " is of term " +
                                     std::to_string(entry.term()) + ", but the stored term is " +
                                     std::to_string(hard_state.term()) + ".");
        }
    }
    return entries;
}

} // namespace

core::implementation::implementation(core_settings initial_settings,
                                     pb::hard_state initial_hard_state, entry_log initial_log,
                                     clock::time_point now)
    : settings(std::move(initial_settings)), hard_state(std::move(initial_hard_state)),
      log(std::move(initial_log)), random(settings.seed), leader_contact_at(now),
      commit_index(log.snapshot_index()), durable_index(log.last_index())
{
    if (settings.unsafe.no_startup_vote_delay) {
        leader_contact_at = now - settings.election_min;
    }
    restart_election_timer(now);
    on_membership_changed(now);
}

void core::implementation::save_hard_state()
{
    out.hard_state = hard_state;
}

output core::implementation::take_output()
{
    return std::exchange(out, output{});
}

// Moves the pending output into a successful proposal.
result<core::proposal> core::implementation::attach_output(result<proposal> proposed)
{
    if (ok(proposed)) {
        value(proposed).work = take_output();
    }
    return proposed;
}

pb::consensus_message core::implementation::message_to(std::string_view instance) const
{
    pb::consensus_message message;
    message.set_from(self());
    message.set_to(std::string(instance));
    message.set_disk_id(settings.disk_id);
    message.set_term(hard_state.term());
    return message;
}

void core::implementation::tick(clock::time_point now)
{
    if (role() != role::leader) {
        if (now < election_deadline) {
            return;
        }
        if (can_campaign()) {
            campaign(now);
        }
        else {
            leader.clear(); // it may have removed this instance, which has to join again then
        }
        return;
    }
    const clock::time_point contact_at = majority_contact_at(now, elected_at);
    if (!settings.unsafe.no_check_quorum && now - contact_at > settings.election_min) {
        step_down(now);
        return;
    }
    if (now >= heartbeat_deadline) {
        heartbeat_deadline = now + settings.heartbeat;
        for (auto& [instance, target] : peers) {
            send_heartbeat(instance, target, now);
        }
    }
}

void core::implementation::receive(const pb::consensus_message& message, clock::time_point now)
{
    if (message.to() != self() || message.from() == self()) {
        return;
    }
    switch (message.body_case()) {
    case pb::consensus_message::kVote:
        handle_vote_request(message, now);
        break;
    case pb::consensus_message::kVoteAnswer:
        handle_vote_reply(message, now);
        break;
    case pb::consensus_message::kAppend:
        handle_append_request(message, now);
        break;
    case pb::consensus_message::kAppendAnswer:
        handle_append_reply(message, now);
        break;
    case pb::consensus_message::kSnapshot:
        handle_chunk(message, now);
        break;
    case pb::consensus_message::kSnapshotAnswer:
        handle_chunk_reply(message, now);
        break;
    case pb::consensus_message::BODY_NOT_SET:
        break;
    }
}

void core::implementation::on_synced(clock::time_point now)
{
    durable_index = log.last_index();
    if (role() == role::leader) {
        advance_commit(now);
    }
}

result<core::proposal> core::implementation::propose(std::string command, clock::time_point now)
{
    if (role() != role::leader) {
        return error{error_kind::not_leader, "This control instance is not the leader.",
                     leader.empty() ? "Retry once a leader is elected."
                                    : "Send the request to " + leader + ".",
                     ran::no, settings.election_min};
    }
    if (is_bootstrapping()) {
        return error{error_kind::no_quorum,
                     "The new cell has not heard from all of its initial members yet.",
                     "Start every control instance listed in the settings.", ran::no,
                     settings.election_min};
    }
    if (log.last_index() - commit_index >= config::max_uncommitted_entries) {
        return error{error_kind::overloaded, "Too many uncommitted entries wait for a majority.",
                     "Retry later.", ran::no, settings.election_min};
    }
    pb::log_entry entry;
    entry.set_command(std::move(command));
    const std::uint64_t index = append_to_log(std::move(entry));
    replicate_to_all(now);
    return proposal{index, hard_state.term(), {}};
}

pb::snapshot_record core::implementation::compact(std::uint64_t index, std::string state)
{
    auto record = std::make_shared<pb::snapshot_record>();
    record->set_last_index(index);
    record->set_last_term(log.term_at(index).value_or(0));
    *record->mutable_members() = log.members_at(index);
    record->set_state(std::move(state));
    log.compact(record);
    return *record;
}

result<core> core::create(core_settings settings, persisted_state stored, clock::time_point now)
{
    const status validated = validate(settings);
    if (!ok(validated)) {
        return failure(validated);
    }
    const pb::snapshot_record* stored_snapshot = stored.snapshot ? &*stored.snapshot : nullptr;
    result<std::vector<pb::log_entry>> entries =
        entries_after(stored_snapshot, stored.hard_state, std::move(stored.entries));
    if (!ok(entries)) {
        return failure(entries);
    }
    std::shared_ptr<const pb::snapshot_record> snapshot;
    if (stored.snapshot) {
        snapshot = std::make_shared<const pb::snapshot_record>(std::move(*stored.snapshot));
    }
    entry_log log(std::move(snapshot), std::move(stored.initial_members), value(entries));
    return core(std::make_unique<implementation>(std::move(settings), std::move(stored.hard_state),
                                                 std::move(log), now));
}

core::core(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
core::~core() = default;
core::core(core&&) noexcept = default;
core& core::operator=(core&&) noexcept = default;

output core::tick(clock::time_point now)
{
    body_->tick(now);
    return body_->take_output();
}

output core::receive(const pb::consensus_message& message, clock::time_point now)
{
    body_->receive(message, now);
    return body_->take_output();
}

output core::on_synced(clock::time_point now)
{
    body_->on_synced(now);
    return body_->take_output();
}

result<core::proposal> core::propose(std::string command, clock::time_point now)
{
    return body_->attach_output(body_->propose(std::move(command), now));
}

result<core::proposal> core::add_member(const pb::member& member, clock::time_point now)
{
    return body_->attach_output(body_->add_member(member, now));
}

result<core::proposal> core::remove_member(const instance_name& instance, clock::time_point now)
{
    return body_->attach_output(body_->remove_member(instance.text(), now));
}

pb::snapshot_record core::compact(std::uint64_t index, std::string state)
{
    return body_->compact(index, std::move(state));
}

role core::role() const noexcept
{
    return body_->role();
}

std::uint64_t core::term() const noexcept
{
    return body_->hard_state.term();
}

std::uint64_t core::commit_index() const noexcept
{
    return body_->commit_index;
}

std::uint64_t core::last_index() const noexcept
{
    return body_->log.last_index();
}

std::string core::leader() const
{
    return body_->leader;
}

const pb::membership& core::members() const noexcept
{
    return body_->log.members();
}

bool core::is_bootstrapping() const
{
    return body_->is_bootstrapping();
}

std::vector<core::progress> core::member_progress(clock::time_point now) const
{
    std::vector<progress> listed;
    for (const auto& [instance, peer_state] : body_->peers) {
        const clock::time_point contact_at =
            peer_state.acknowledged_sent_at.value_or(peer_state.known_since);
        listed.push_back({instance, peer_state.match_index, now - contact_at});
    }
    return listed;
}

bool core::is_current(clock::time_point now) const noexcept
{
    return body_->is_current(now);
}

clock::duration core::contact_age(clock::time_point now) const
{
    return body_->contact_age(now);
}

} // namespace primrosehead::consensus
