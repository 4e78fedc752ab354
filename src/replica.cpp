#include "replica_pending.h"

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

consensus::core_settings make_core_settings(const control_settings& settings,
                                            const pb::disk_record& identity, std::uint64_t seed)
{
    consensus::core_settings core;
    core.instance = settings.instance;
    core.disk_id = identity.disk_id();
    core.heartbeat = settings.heartbeat;
    core.election_min = settings.election_min;
    core.election_max = settings.election_max;
    core.seed = seed;
    return core;
}

result<state_machine> load_state(const control_settings& settings,
                                 const journal::contents& contents)
{
    if (!contents.snapshot) {
        return state_machine(settings.cell);
    }
    return state_machine::restore(contents.snapshot->state());
}

constexpr clock::duration disk_retry_interval{100};

// Output of the consensus core whose writes are not durable yet. The flags tell which writes a
// repetition leaves out.
struct unwritten_output {
    consensus::output content;
    bool are_initial_members_written = false;
    bool is_hard_state_written = false;
    bool is_snapshot_written = false;
    bool is_log_buffered = false; // in the journal
};

std::string_view role_text(consensus::role role) noexcept
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
    implementation(const control_settings& replica_settings, journal opened_journal,
                   state_machine initial_state, consensus::core consensus_core,
                   sender message_sender)
        : settings(replica_settings), storage(std::move(opened_journal)),
          state(std::move(initial_state)), core(std::move(consensus_core)),
          send(std::move(message_sender)), reported_role(core.role())
    {
    }

    status process_output(consensus::output output, clock::time_point now);
    status complete_writes(clock::time_point now);
    status persist(unwritten_output& writes);
    status suspend(const error& cause, clock::time_point now);
    status resume_if_due(clock::time_point now);
    status install_snapshot(const consensus::output& output);
    void apply(const pb::log_entry& entry);
    void compact_if_due();
    void update_leadership(clock::time_point now);
    void log_role_change();
    void run_completions();
    template <class Proposer>
    status propose_entry(const Proposer& propose, const std::string& request_id,
                         clock::time_point now, completion done);
    [[nodiscard]] std::string endpoint_of(std::string_view instance) const;

    control_settings settings;
    journal storage;
    state_machine state;
    consensus::core core;
    sender send;
    pending_proposals pending;

    std::string disk_id;
    bool is_tail_truncated = false;
    std::uint64_t applied_index = 0;
    std::uint64_t snapshot_index = 0;

    std::optional<unwritten_output> unwritten;
    std::optional<pb::snapshot_record> unwritten_snapshot; // of a compaction
    std::optional<disk_outage> outage;
    clock::time_point retry_at; // during an outage

    std::optional<std::uint64_t> leader_term; // set while this instance is leader
    clock::time_point elected_at;
    consensus::role reported_role;
};

// Continues after the writes that succeeded if an earlier attempt failed.
status replica::implementation::persist(unwritten_output& writes)
{
    const consensus::output& output = writes.content;
    status outcome = std::monostate{};
    if (output.initial_members && !writes.are_initial_members_written) {
        outcome = storage.write_initial_members(*output.initial_members);
        writes.are_initial_members_written = ok(outcome);
    }
    if (ok(outcome) && output.hard_state && !writes.is_hard_state_written) {
        outcome = storage.write_hard_state(*output.hard_state);
        writes.is_hard_state_written = ok(outcome);
    }
    if (ok(outcome) && output.snapshot && !writes.is_snapshot_written) {
        outcome = storage.write_snapshot(*output.snapshot);
        writes.is_snapshot_written = ok(outcome);
    }
    if (ok(outcome) && !writes.is_log_buffered) {
        if (output.truncate_from) {
            outcome = storage.truncate_from(*output.truncate_from);
        }
        if (ok(outcome)) {
            outcome = storage.append(output.entries);
        }
        writes.is_log_buffered = ok(outcome);
    }
    return ok(outcome) ? storage.sync() : outcome;
}

status replica::implementation::process_output(consensus::output output, clock::time_point now)
{
    unwritten.emplace(unwritten_output{.content = std::move(output)});
    return complete_writes(now);
}

// Persists and syncs, then sends, then applies, in the order that `consensus::output` requires.
// Repeats while there were writes, because completing the sync may produce more output.
status replica::implementation::complete_writes(clock::time_point now)
{
    while (unwritten) {
        status outcome = persist(*unwritten);
        if (!ok(outcome)) {
            return suspend(failure(outcome), now);
        }
        const consensus::output output = std::move(std::exchange(unwritten, std::nullopt)->content);
        for (const pb::consensus_message& message : output.messages) {
            send(message);
        }
        outcome = install_snapshot(output);
        if (!ok(outcome)) {
            return outcome;
        }
        for (const pb::log_entry& entry : output.committed) {
            apply(entry);
        }
        if (!output.entries.empty() || output.snapshot || output.truncate_from) {
            unwritten.emplace(unwritten_output{.content = core.on_synced(now)});
        }
    }
    update_leadership(now);
    log_role_change();
    compact_if_due();
    if (unwritten_snapshot) {
        status compacted = storage.write_snapshot(*unwritten_snapshot);
        if (!ok(compacted)) {
            return suspend(failure(compacted), now);
        }
        unwritten_snapshot.reset();
    }
    outage.reset();
    run_completions();
    return std::monostate{};
}

// Suspends consensus until the disk accepts the writes: to the other instances this one is silent
// meanwhile, and to this one's core no time passes.
status replica::implementation::suspend(const error& cause, clock::time_point now)
{
    if (cause.kind != error_kind::storage_failed) {
        return cause;
    }
    if (!outage) {
        outage = disk_outage{cause, now};
    }
    retry_at = now + disk_retry_interval;
    pending.fail_all(settings.election_min);
    run_completions();
    return std::monostate{};
}

status replica::implementation::resume_if_due(clock::time_point now)
{
    return outage && now >= retry_at ? complete_writes(now) : status(std::monostate{});
}

status replica::implementation::install_snapshot(const consensus::output& output)
{
    if (!output.restore_state) {
        return std::monostate{};
    }
    result<state_machine> restored = state_machine::restore(*output.restore_state);
    if (!ok(restored)) {
        return failure(restored);
    }
    state = value(std::move(restored));
    applied_index = output.snapshot->last_index();
    snapshot_index = applied_index;
    spdlog::info("replica: installed the leader's snapshot through entry {}", applied_index);
    return std::monostate{};
}

void replica::implementation::apply(const pb::log_entry& entry)
{
    applied_index = entry.index();
    pb::operator_reply reply;
    reply.set_ok(true);
    reply.set_version(state.version());
    if (entry.has_members()) {
        spdlog::info("replica: committed the membership of entry {} with {} members", entry.index(),
                     entry.members().members_size());
    }
    if (entry.has_command()) {
        pb::command command;
        if (!command.ParseFromString(entry.command())) {
            command.Clear(); // is rejected, on every instance alike
        }
        reply = state.apply(command);
    }
    pending.complete(entry.index(), entry.term(), std::move(reply));
}

void replica::implementation::compact_if_due()
{
    if (applied_index - snapshot_index < settings.snapshot_after) {
        return;
    }
    unwritten_snapshot = core.compact(applied_index, state.snapshot());
    snapshot_index = applied_index;
    spdlog::info("replica: writing a snapshot through entry {}, {} bytes", snapshot_index,
                 unwritten_snapshot->state().size());
}

// Fails the pending proposals when this instance no longer leads the term in which they were made.
void replica::implementation::update_leadership(clock::time_point now)
{
    const bool leads = core.role() == consensus::role::leader;
    if (leader_term && (!leads || *leader_term != core.term())) {
        pending.fail_all(settings.election_min);
        leader_term.reset();
    }
    if (leads && !leader_term) {
        leader_term = core.term();
        elected_at = now;
    }
}

void replica::implementation::log_role_change()
{
    if (core.role() == reported_role) {
        return;
    }
    reported_role = core.role();
    spdlog::info("replica: {} is now {} in term {}", settings.instance.text(),
                 role_text(reported_role), core.term());
}

void replica::implementation::run_completions()
{
    for (const completed_proposal& completed : pending.take_completed()) {
        completed.done(completed.reply);
    }
}

template <class Proposer>
status replica::implementation::propose_entry(const Proposer& propose,
                                              const std::string& request_id, clock::time_point now,
                                              completion done)
{
    if (outage) {
        done(error_reply(request_id, error{error_kind::not_leader,
                                           "The disk of this control instance rejects writes.",
                                           "Retry at another control instance.", ran::no,
                                           settings.election_min}));
        return std::monostate{};
    }
    result<consensus::core::proposal> proposed = propose(core);
    if (!ok(proposed)) {
        pb::operator_reply reply = error_reply(request_id, failure(proposed));
        reply.set_leader_hint(endpoint_of(core.leader()));
        done(reply);
        return std::monostate{};
    }
    pending.add(value(proposed).index, value(proposed).term, request_id, std::move(done));
    return process_output(std::move(value(proposed).work), now);
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
    pb::disk_record new_identity;
    new_identity.set_cell(settings.cell.text());
    new_identity.set_instance(settings.instance.text());
    new_identity.set_disk_id(std::move(disk_id));
    if (!settings.control.empty()) {
        *new_identity.mutable_initial_members() = initial_members(settings);
    }
    result<journal> opened = journal::open(std::move(files), new_identity);
    if (!ok(opened)) {
        return failure(opened);
    }
    journal::contents contents = value(opened).take_contents();
    result<state_machine> state = load_state(settings, contents);
    if (!ok(state)) {
        return failure(state);
    }
    const std::uint64_t snapshot_index = contents.snapshot ? contents.snapshot->last_index() : 0;
    consensus::persisted_state stored{
        contents.hard_state, std::move(contents.snapshot), std::move(contents.entries),
        contents.identity.has_initial_members() ? contents.identity.initial_members()
                                                : initial_members(settings)};
    result<consensus::core> core = consensus::core::create(
        make_core_settings(settings, contents.identity, seed), std::move(stored), now);
    if (!ok(core)) {
        return failure(core);
    }
    auto impl = std::make_unique<implementation>(settings, value(std::move(opened)),
                                                 value(std::move(state)), value(std::move(core)),
                                                 std::move(send));
    impl->disk_id = contents.identity.disk_id();
    impl->is_tail_truncated = contents.is_tail_truncated;
    impl->applied_index = snapshot_index;
    impl->snapshot_index = snapshot_index;
    spdlog::info("replica: {} opened disk {} through entry {}, snapshot {}{}",
                 settings.instance.text(), impl->disk_id, impl->core.last_index(), snapshot_index,
                 impl->is_tail_truncated ? ", torn tail truncated" : "");
    if (impl->core.is_bootstrapping()) {
        spdlog::info("replica: new cell, waiting for all {} initial members",
                     impl->core.members().members_size());
    }
    return std::unique_ptr<replica>(new replica(std::move(impl)));
}

replica::replica(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}
replica::~replica() = default;

status replica::receive(const pb::consensus_message& message, clock::time_point now)
{
    if (impl_->outage) {
        return std::monostate{};
    }
    return impl_->process_output(impl_->core.receive(message, now), now);
}

status replica::tick(clock::time_point now)
{
    status resumed = impl_->resume_if_due(now);
    if (!ok(resumed) || impl_->outage) {
        return resumed;
    }
    return impl_->process_output(impl_->core.tick(now), now);
}

status replica::propose(const pb::command& command, clock::time_point now, completion done)
{
    std::string bytes = command.SerializeAsString();
    if (pb::command read_back; !read_back.ParseFromString(bytes)) {
        // Once committed, it would make the snapshots unreadable.
        done(error_reply(command.request_id(),
                         error{error_kind::bad_request, "The change has a text that is not UTF-8.",
                               "Correct the text."}));
        return std::monostate{};
    }
    return impl_->propose_entry(
        [&](consensus::core& core) { return core.propose(std::move(bytes), now); },
        command.request_id(), now, std::move(done));
}

status replica::add_member(const pb::member& member, clock::time_point now, completion done)
{
    return impl_->propose_entry([&](consensus::core& core) { return core.add_member(member, now); },
                                {}, now, std::move(done));
}

status replica::remove_member(const instance_name& instance, clock::time_point now, completion done)
{
    return impl_->propose_entry(
        [&](consensus::core& core) { return core.remove_member(instance, now); }, {}, now,
        std::move(done));
}

const state_machine& replica::state() const noexcept
{
    return impl_->state;
}

const pb::membership& replica::members() const noexcept
{
    return impl_->core.members();
}

std::vector<consensus::core::progress> replica::member_progress(clock::time_point now) const
{
    return impl_->core.member_progress(now);
}

std::uint64_t replica::commit_index() const noexcept
{
    return impl_->core.commit_index();
}

const std::string& replica::disk_id() const noexcept
{
    return impl_->disk_id;
}

bool replica::is_tail_truncated() const noexcept
{
    return impl_->is_tail_truncated;
}

const std::optional<replica::disk_outage>& replica::outage() const noexcept
{
    return impl_->outage;
}

bool replica::is_current(clock::time_point now) const noexcept
{
    return !impl_->outage && impl_->core.is_current(now);
}

clock::duration replica::contact_age(clock::time_point now) const
{
    return impl_->core.contact_age(now);
}

std::uint64_t replica::term() const noexcept
{
    return impl_->core.term();
}

clock::time_point replica::elected_at() const noexcept
{
    return impl_->elected_at;
}

std::string replica::leader_endpoint() const
{
    const bool is_suspended_leader = impl_->outage && impl_->core.role() == consensus::role::leader;
    return is_suspended_leader ? std::string() : impl_->endpoint_of(impl_->core.leader());
}

std::string_view replica::role_name() const noexcept
{
    return role_text(impl_->core.role());
}

} // namespace primrosehead
