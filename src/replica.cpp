#include "replica_waiting.h"

#include <primrosehead/replica.h>

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

namespace primrosehead {

namespace {

pb::membership initial_members(const control_settings& settings)
{
    pb::membership members;
    for (const control_address& address : settings.control) {
        pb::member* member = members.add_members();
        member->set_instance(address.name.text());
        member->set_endpoint(address.endpoint);
        member->set_voter(true);
    }
    return members;
}

consensus::core_settings core_settings_for(const control_settings& settings,
                                           const pb::disk_record& identity, std::uint64_t seed)
{
    consensus::core_settings chosen;
    chosen.instance = settings.instance;
    chosen.disk_id = identity.disk_id();
    chosen.heartbeat = settings.heartbeat;
    chosen.election_min = settings.election_min;
    chosen.election_max = settings.election_max;
    chosen.seed = seed;
    return chosen;
}

result<state_machine> state_from(const control_settings& settings,
                                 const journal::contents& contents)
{
    if (!contents.snapshot) {
        return state_machine(settings.cell);
    }
    return state_machine::restore(contents.snapshot->state());
}

std::string_view name_of(consensus::role role) noexcept
{
    switch (role) {
    case consensus::role::learner:
        return "learner";
    case consensus::role::follower:
        return "follower";
    case consensus::role::pre_candidate:
        return "pre_candidate";
    case consensus::role::candidate:
        return "candidate";
    case consensus::role::leader:
        return "leader";
    }
    return "unknown";
}

} // namespace

struct replica::implementation {
    implementation(const control_settings& chosen, journal opened, state_machine restored,
                   consensus::core made, sender to_send)
        : settings(chosen), storage(std::move(opened)), state(std::move(restored)),
          core(std::move(made)), send(std::move(to_send)), reported_role(core.role())
    {
    }

    status carry_out(consensus::output work, clock::time_point now);
    status write(const consensus::output& work);
    status restore(const consensus::output& work);
    void apply(const pb::log_entry& entry);
    status compact_when_due();
    void watch_leadership(clock::time_point now);
    void watch_role();
    void give_out();
    status propose_entry(result<consensus::core::proposal> proposed, const std::string& request_id,
                         clock::time_point now, completion done);
    [[nodiscard]] std::string endpoint_of(std::string_view instance) const;

    control_settings settings;
    journal storage;
    state_machine state;
    consensus::core core;
    sender send;
    waiting_proposals waiting;

    std::string disk_id;
    bool is_tail_truncated = false;
    std::uint64_t applied_index = 0;
    std::uint64_t snapshot_index = 0;

    std::optional<std::uint64_t> led_term; // while leader
    clock::time_point elected_at;
    consensus::role reported_role;
};

status replica::implementation::write(const consensus::output& work)
{
    status done = std::monostate{};
    if (work.hard_state) {
        done = storage.write_hard_state(*work.hard_state);
    }
    if (ok(done) && work.snapshot) {
        done = storage.write_snapshot(*work.snapshot);
    }
    if (ok(done) && work.truncate_from) {
        done = storage.truncate_from(*work.truncate_from);
    }
    if (ok(done)) {
        done = storage.append(work.entries);
    }
    return ok(done) ? storage.sync() : done;
}

// Writes and syncs, then sends, then applies, as `consensus::output` asks; repeats while the sync
// lets the core go on.
status replica::implementation::carry_out(consensus::output work, clock::time_point now)
{
    bool more = true;
    while (more) {
        status done = write(work);
        if (!ok(done)) {
            return done;
        }
        for (const pb::consensus_message& message : work.messages) {
            send(message);
        }
        done = restore(work);
        if (!ok(done)) {
            return done;
        }
        for (const pb::log_entry& entry : work.committed) {
            apply(entry);
        }
        more = !work.entries.empty() || work.snapshot || work.truncate_from;
        if (more) {
            work = core.on_synced(now);
        }
    }
    watch_leadership(now);
    watch_role();
    status compacted = compact_when_due();
    if (ok(compacted)) {
        give_out();
    }
    return compacted;
}

status replica::implementation::restore(const consensus::output& work)
{
    if (!work.restore_state) {
        return std::monostate{};
    }
    result<state_machine> restored = state_machine::restore(*work.restore_state);
    if (!ok(restored)) {
        return failure(restored);
    }
    state = value(std::move(restored));
    applied_index = work.snapshot->last_index();
    snapshot_index = applied_index;
    spdlog::info("replica: state installed from the leader's snapshot through entry {}",
                 applied_index);
    return std::monostate{};
}

void replica::implementation::apply(const pb::log_entry& entry)
{
    applied_index = entry.index();
    pb::operator_reply reply;
    reply.set_ok(true);
    reply.set_version(state.version());
    if (entry.has_members()) {
        spdlog::info("replica: membership of entry {} is committed, {} members", entry.index(),
                     entry.members().members_size());
    }
    if (entry.has_command()) {
        pb::command command;
        command.ParseFromString(entry.command());
        reply = state.apply(command);
    }
    waiting.commit(entry.index(), entry.term(), std::move(reply));
}

status replica::implementation::compact_when_due()
{
    if (applied_index - snapshot_index < settings.snapshot_after) {
        return std::monostate{};
    }
    const pb::snapshot_record record = core.compact(applied_index, state.snapshot());
    snapshot_index = applied_index;
    spdlog::info("replica: snapshot written through entry {}, {} bytes", snapshot_index,
                 record.state().size());
    return storage.write_snapshot(record);
}

// Abandons what waits when this instance no longer leads the term in which it was proposed.
void replica::implementation::watch_leadership(clock::time_point now)
{
    const bool leads = core.role() == consensus::role::leader;
    if (led_term && (!leads || *led_term != core.term())) {
        waiting.abandon(settings.election_min);
        led_term.reset();
    }
    if (leads && !led_term) {
        led_term = core.term();
        elected_at = now;
    }
}

void replica::implementation::watch_role()
{
    if (core.role() == reported_role) {
        return;
    }
    reported_role = core.role();
    spdlog::info("replica: {} is {} in term {}", settings.instance.text(), name_of(reported_role),
                 core.term());
}

void replica::implementation::give_out()
{
    for (const finished_proposal& finished : waiting.take_finished()) {
        finished.done(finished.reply);
    }
}

status replica::implementation::propose_entry(result<consensus::core::proposal> proposed,
                                              const std::string& request_id, clock::time_point now,
                                              completion done)
{
    if (!ok(proposed)) {
        pb::operator_reply reply = failed_reply(request_id, failure(proposed));
        reply.set_leader_hint(endpoint_of(core.leader()));
        done(reply);
        return std::monostate{};
    }
    waiting.add(value(proposed).index, value(proposed).term, request_id, std::move(done));
    return carry_out(std::move(value(proposed).work), now);
}

std::string replica::implementation::endpoint_of(std::string_view instance) const
{
    for (const pb::member& member : core.members().members()) {
        if (member.instance() == instance) {
            return member.endpoint();
        }
    }
    return {};
}

result<std::unique_ptr<replica>> replica::open(const control_settings& settings,
                                               std::unique_ptr<disk> files, std::string disk_id,
                                               std::uint64_t seed, clock::time_point now,
                                               sender send)
{
    pb::disk_record fresh;
    fresh.set_cell(settings.cell.text());
    fresh.set_instance(settings.instance.text());
    fresh.set_disk_id(std::move(disk_id));
    result<journal> opened = journal::open(std::move(files), fresh);
    if (!ok(opened)) {
        return failure(opened);
    }
    journal::contents contents = value(opened).take_contents();
    result<state_machine> state = state_from(settings, contents);
    if (!ok(state)) {
        return failure(state);
    }
    const std::uint64_t covered = contents.snapshot ? contents.snapshot->last_index() : 0;
    consensus::persisted_state stored{contents.hard_state, std::move(contents.snapshot),
                                      std::move(contents.entries), initial_members(settings)};
    result<consensus::core> core = consensus::core::create(
        core_settings_for(settings, contents.identity, seed), std::move(stored), now);
    if (!ok(core)) {
        return failure(core);
    }
    auto body = std::make_unique<implementation>(settings, value(std::move(opened)),
                                                 value(std::move(state)), value(std::move(core)),
                                                 std::move(send));
    body->disk_id = contents.identity.disk_id();
    body->is_tail_truncated = contents.is_tail_truncated;
    body->applied_index = covered;
    body->snapshot_index = covered;
    spdlog::info("replica: {} opened disk {} through entry {}, snapshot {}{}",
                 settings.instance.text(), body->disk_id, body->core.last_index(), covered,
                 body->is_tail_truncated ? ", torn tail cut" : "");
    if (body->core.is_bootstrapping()) {
        spdlog::info("replica: new cell, waits for all {} control instances of the settings",
                     settings.control.size());
    }
    return std::unique_ptr<replica>(new replica(std::move(body)));
}

replica::replica(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
replica::~replica() = default;

status replica::receive(const pb::consensus_message& message, clock::time_point now)
{
    return body_->carry_out(body_->core.receive(message, now), now);
}

status replica::tick(clock::time_point now)
{
    return body_->carry_out(body_->core.tick(now), now);
}

status replica::propose(const pb::command& command, clock::time_point now, completion done)
{
    return body_->propose_entry(body_->core.propose(command.SerializeAsString(), now),
                                command.request_id(), now, std::move(done));
}

status replica::add_member(const pb::member& member, clock::time_point now, completion done)
{
    return body_->propose_entry(body_->core.add_member(member, now), {}, now, std::move(done));
}

status replica::remove_member(const instance_name& instance, clock::time_point now, completion done)
{
    return body_->propose_entry(body_->core.remove_member(instance, now), {}, now, std::move(done));
}

const state_machine& replica::state() const noexcept
{
    return body_->state;
}

const pb::membership& replica::members() const noexcept
{
    return body_->core.members();
}

std::vector<consensus::core::progress> replica::member_progress(clock::time_point now) const
{
    return body_->core.member_progress(now);
}

std::uint64_t replica::commit_index() const noexcept
{
    return body_->core.commit_index();
}

const std::string& replica::disk_id() const noexcept
{
    return body_->disk_id;
}

bool replica::is_tail_truncated() const noexcept
{
    return body_->is_tail_truncated;
}

bool replica::is_current(clock::time_point now) const noexcept
{
    return body_->core.is_current(now);
}

std::uint64_t replica::term() const noexcept
{
    return body_->core.term();
}

clock::time_point replica::elected_at() const noexcept
{
    return body_->elected_at;
}

std::string replica::leader_endpoint() const
{
    return body_->endpoint_of(body_->core.leader());
}

std::string_view replica::role_name() const noexcept
{
    return name_of(body_->core.role());
}

} // namespace primrosehead
