#include "scenario_control.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr std::uint64_t snapshot_after = 60; // applied entries

} // namespace

control::control(control_options options)
    : options_(std::move(options)), state_(cell_name(options_.cell))
{
    disk_.id = options_.name + "-disk-1";
}

void control::start(clock::time_point now)
{
    ++starts_;
    state_ = state_machine(cell_name(options_.cell));
    applied_ = 0;
    if (disk_.snapshot) {
        state_ = value(state_machine::restore(disk_.snapshot->state()));
        applied_ = disk_.snapshot->last_index();
    }
    compacted_ = applied_;
    consensus::core_settings settings;
    settings.instance = instance_name(options_.name);
    settings.disk_id = disk_.id;
    settings.seed = options_.seed + starts_ * 7'919;
    settings.unsafe = options_.unsafe;
    consensus::persisted_state stored{disk_.hard, disk_.snapshot, disk_.entries,
                                      options_.initial_members};
    result<consensus::core> made = consensus::core::create(settings, std::move(stored), now);
    core_.emplace(value(std::move(made)));
}

void control::stop()
{
    core_.reset();
    service_.reset();
    waiting_.clear();
    outbox.clear();
    actions.clear();
}

void control::lose_disk()
{
    ++disks_;
    disk_ = fake_disk{};
    disk_.id = options_.name + "-disk-" + std::to_string(disks_);
}

void control::write(const consensus::output& work)
{
    if (work.hard_state) {
        disk_.hard = *work.hard_state;
    }
    if (work.snapshot) {
        disk_.snapshot = *work.snapshot;
        disk_.entries.clear();
    }
    if (work.truncate_from) {
        std::erase_if(disk_.entries, [&](const pb::log_entry& entry) {
            return entry.index() >= *work.truncate_from;
        });
    }
    disk_.entries.insert(disk_.entries.end(), work.entries.begin(), work.entries.end());
}

void control::apply(const pb::log_entry& entry)
{
    applied_ = entry.index();
    if (entry.body_case() != pb::log_entry::kCommand) {
        return;
    }
    pb::command command;
    command.ParseFromString(entry.command());
    const pb::operator_reply reply = state_.apply(command);
    const auto found = waiting_.find(entry.index());
    if (found == waiting_.end()) {
        return;
    }
    const waiting_proposal proposal = std::move(found->second);
    waiting_.erase(found);
    if (proposal.term == entry.term() && proposal.done) {
        proposal.done(reply);
    }
}

void control::compact_when_due()
{
    if (applied_ - compacted_ < snapshot_after) {
        return;
    }
    compacted_ = applied_;
    disk_.snapshot = core_->compact(applied_, state_.snapshot());
    std::erase_if(disk_.entries,
                  [&](const pb::log_entry& entry) { return entry.index() <= applied_; });
}

void control::carry_out(consensus::output work, clock::time_point now)
{
    bool has_written = true;
    while (has_written) {
        write(work);
        std::ranges::move(work.messages, std::back_inserter(outbox));
        if (work.restore_state) {
            state_ = value(state_machine::restore(*work.restore_state));
            applied_ = disk_.snapshot->last_index();
            compacted_ = applied_;
        }
        for (const pb::log_entry& entry : work.committed) {
            apply(entry);
        }
        has_written =
            work.hard_state || work.snapshot || work.truncate_from || !work.entries.empty();
        if (has_written) {
            work = core_->on_synced(now);
        }
    }
    compact_when_due();
}

void control::lead(clock::time_point now)
{
    if (!core_->is_current(now)) {
        service_.reset();
        waiting_.clear();
        return;
    }
    if (!service_) {
        fleet::service_settings settings;
        settings.cell = cell_name(options_.cell);
        settings.environment = options_.environment;
        settings.enabled = options_.on;
        service_.emplace(std::move(settings), now);
    }
    std::ranges::move(service_->advance(state_, now), std::back_inserter(actions));
}

void control::tick(clock::time_point now)
{
    carry_out(core_->tick(now), now);
    lead(now);
}

void control::receive(const pb::consensus_message& message, clock::time_point now)
{
    carry_out(core_->receive(message, now), now);
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
    waiting_[value(proposed).index] = {value(proposed).term, std::move(done)};
    carry_out(std::move(value(proposed).work), now);
    return true;
}

pb::heartbeat_reply control::heartbeat(const pb::heartbeat& beat, clock::time_point now)
{
    if (!is_current(now) || !service_) {
        pb::heartbeat_reply reply;
        reply.set_leader_hint(core_ ? core_->leader() : std::string());
        return reply;
    }
    pb::heartbeat_reply reply = service_->handle_heartbeat(beat, state_, now);
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
