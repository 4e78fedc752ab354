#include "scenario_control.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr std::uint64_t snapshot_interval_entries = 60; // applied entries

} // namespace

control::control(control_options options)
    : options_(std::move(options)), state_(cell_name(options_.cell))
{
    disk_.id = options_.name + "-disk-1";
}

void control::start(clock::time_point now)
{
    ++start_count_;
    state_ = state_machine(cell_name(options_.cell));
    applied_index_ = 0;
    if (disk_.snapshot) {
        state_ = value(state_machine::restore(disk_.snapshot->state()));
        applied_index_ = disk_.snapshot->last_index();
    }
    compacted_index_ = applied_index_;
    consensus::core_settings settings;
    settings.instance = instance_name(options_.name);
    settings.disk_id = disk_.id;
    settings.seed = options_.seed + start_count_ * 7'919;
    settings.unsafe = options_.unsafe;
    consensus::persisted_state persisted{disk_.hard_state, disk_.snapshot, disk_.entries,
                                         options_.initial_members};
    result<consensus::core> created = consensus::core::create(settings, std::move(persisted), now);
    core_.emplace(value(std::move(created)));
}

void control::stop()
{
    core_.reset();
    service_.reset();
    pending_proposals_.clear();
    outbox.clear();
    actions.clear();
}

void control::lose_disk()
{
    ++disk_count_;
    disk_ = fake_disk{};
    disk_.id = options_.name + "-disk-" + std::to_string(disk_count_);
}

void control::persist(const consensus::output& output)
{
    if (output.hard_state) {
        disk_.hard_state = *output.hard_state;
    }
    if (output.snapshot) {
        disk_.snapshot = *output.snapshot;
        disk_.entries.clear();
    }
    if (output.truncate_from) {
        std::erase_if(disk_.entries, [&](const pb::log_entry& entry) {
            return entry.index() >= *output.truncate_from;
        });
    }
    disk_.entries.insert(disk_.entries.end(), output.entries.begin(), output.entries.end());
}

void control::apply(const pb::log_entry& entry)
{
    applied_index_ = entry.index();
    if (entry.body_case() != pb::log_entry::kCommand) {
        return;
    }
    pb::command command;
    command.ParseFromString(entry.command());
    const pb::operator_reply reply = state_.apply(command);
    const auto found = pending_proposals_.find(entry.index());
    if (found == pending_proposals_.end()) {
        return;
    }
    const pending_proposal proposal = std::move(found->second);
    pending_proposals_.erase(found);
    if (proposal.term == entry.term() && proposal.done) {
        proposal.done(reply);
    }
}

void control::compact_if_due()
{
    if (applied_index_ - compacted_index_ < snapshot_interval_entries) {
        return;
    }
    compacted_index_ = applied_index_;
    disk_.snapshot = core_->compact(applied_index_, state_.snapshot());
    std::erase_if(disk_.entries,
                  [&](const pb::log_entry& entry) { return entry.index() <= applied_index_; });
}

void control::process_output(consensus::output output, clock::time_point now)
{
    bool has_new_state = true;
    while (has_new_state) {
        persist(output);
        std::ranges::move(output.messages, std::back_inserter(outbox));
        if (output.restore_state) {
            state_ = value(state_machine::restore(*output.restore_state));
            applied_index_ = disk_.snapshot->last_index();
            compacted_index_ = applied_index_;
        }
        for (const pb::log_entry& entry : output.committed) {
            apply(entry);
        }
        has_new_state =
            output.hard_state || output.snapshot || output.truncate_from || !output.entries.empty();
        if (has_new_state) {
            output = core_->on_synced(now);
        }
    }
    compact_if_due();
}

void control::advance_service(clock::time_point now)
{
    if (!core_->is_current(now)) {
        service_.reset();
        pending_proposals_.clear();
        return;
    }
    if (!service_) {
        fleet::service_settings settings;
        settings.cell = cell_name(options_.cell);
        settings.environment = options_.environment;
        settings.enabled = options_.safeguards;
        service_.emplace(std::move(settings), now);
    }
    std::ranges::move(service_->advance(state_, now), std::back_inserter(actions));
}

void control::tick(clock::time_point now)
{
    process_output(core_->tick(now), now);
    advance_service(now);
}

void control::receive(const pb::consensus_message& message, clock::time_point now)
{
    process_output(core_->receive(message, now), now);
}

bool control::propose(const pb::command& command, clock::time_point now, completion done)
{
    if (!core_ || !core_->is_current(now)) {
        return false;
    }
    result<consensus::core::proposal> proposed = core_->propose(command.SerializeAsString(), now);
    if (!ok(proposed)) {
        return false;
    }
    pending_proposals_[value(proposed).index] = {value(proposed).term, std::move(done)};
    process_output(std::move(value(proposed).work), now);
    return true;
}

pb::heartbeat_reply control::handle_heartbeat(const pb::heartbeat& heartbeat, clock::time_point now)
{
    if (!is_current(now) || !service_) {
        pb::heartbeat_reply reply;
        reply.set_leader_hint(core_ ? core_->leader() : std::string());
        return reply;
    }
    pb::heartbeat_reply reply = service_->handle_heartbeat(heartbeat, state_, now);
    reply.set_control_term(core_->term());
    return reply;
}

bool control::is_current(clock::time_point now) const
{
    return core_ && core_->is_current(now);
}

std::uint64_t control::term() const
{
    return core_ ? core_->term() : 0;
}

std::uint64_t control::voters() const
{
    std::uint64_t count = 0;
    for (const pb::member& member : core_->members().members()) {
        count += member.voter() ? 1 : 0;
    }
    return count;
}

bool control::is_voter() const
{
    return std::ranges::any_of(core_->members().members(), [this](const pb::member& member) {
        return member.instance() == options_.name && member.disk_id() == disk_.id && member.voter();
    });
}

} // namespace primrosehead::scenario
