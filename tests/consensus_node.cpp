#include "consensus_node.h"

#include <cstdlib>
#include <utility>
#include <xxhash.h>

namespace primrosehead::testing {

namespace {

std::uint64_t digest_with(std::uint64_t digest, const std::string& bytes)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), digest);
}

std::string state_text(std::uint64_t digest, std::size_t bytes)
{
    std::string text = std::to_string(digest) + ' ';
    text.append(bytes, '.');
    return text;
}

} // namespace

node::node(node_options options, std::uint64_t disk_seed, disk_faults faults)
    : options_(std::move(options)), faults_(faults),
      folder_(std::make_unique<fake_folder>(disk_seed, faults))
{
}

void node::replace_disk(const std::string& disk_id, std::uint64_t disk_seed)
{
    options_.core.disk_id = disk_id;
    folder_ = std::make_unique<fake_folder>(disk_seed, faults_);
}

void node::stop_with_error(const error& problem)
{
    failure_ = describe(problem);
    core_.reset();
    journal_.reset();
}

void node::start(clock::time_point now)
{
    pb::disk_record new_disk;
    new_disk.set_cell("cell");
    new_disk.set_instance(options_.core.instance.text());
    new_disk.set_disk_id(options_.core.disk_id);
    if (!std::exchange(has_started_, true) || !options_.knows_members_once) {
        *new_disk.mutable_initial_members() = options_.initial_members;
    }
    result<journal> opened = journal::open(folder_->open(), new_disk, options_.journal);
    if (!ok(opened)) {
        stop_with_error(failure(opened));
        return;
    }
    journal_.emplace(value(std::move(opened)));
    journal::contents contents = journal_->take_contents();
    options_.core.disk_id = contents.identity.disk_id();
    options_.core.seed += 1'000'003;
    applied_index_ = 0;
    snapshot_index_ = 0;
    digest_ = 0;
    if (contents.snapshot) {
        restore(contents.snapshot->state(), contents.snapshot->last_index());
    }
    consensus::persisted_state stored{contents.hard_state, contents.snapshot, contents.entries,
                                      contents.identity.initial_members()};
    result<consensus::core> created =
        consensus::core::create(options_.core, std::move(stored), now);
    if (!ok(created)) {
        stop_with_error(failure(created));
        return;
    }
    core_ = std::make_unique<consensus::core>(value(std::move(created)));
}

void node::crash()
{
    core_.reset();
    journal_.reset();
    is_paused_ = false;
    folder_->crash();
    outbox.clear();
}

void node::tick(clock::time_point now)
{
    process_output(core_->tick(now), now);
}

void node::receive(const pb::consensus_message& message, clock::time_point now)
{
    process_output(core_->receive(message, now), now);
}

status node::propose(std::string command, clock::time_point now)
{
    auto proposed = core_->propose(std::move(command), now);
    if (!ok(proposed)) {
        return failure(proposed);
    }
    process_output(std::move(value(proposed).work), now);
    return std::monostate{};
}

result<std::uint64_t> node::add_member(const pb::member& member, clock::time_point now)
{
    auto proposed = core_->add_member(member, now);
    if (!ok(proposed)) {
        return failure(proposed);
    }
    const std::uint64_t index = value(proposed).index;
    process_output(std::move(value(proposed).work), now);
    return index;
}

result<std::uint64_t> node::remove_member(std::string_view name, clock::time_point now)
{
    auto proposed = core_->remove_member(instance_name(name), now);
    if (!ok(proposed)) {
        return failure(proposed);
    }
    const std::uint64_t index = value(proposed).index;
    process_output(std::move(value(proposed).work), now);
    return index;
}

status node::write(const consensus::output& work)
{
    status result_so_far = std::monostate{};
    if (work.initial_members) {
        result_so_far = journal_->write_initial_members(*work.initial_members);
    }
    if (ok(result_so_far) && work.hard_state) {
        result_so_far = journal_->write_hard_state(*work.hard_state);
    }
    if (ok(result_so_far) && work.snapshot) {
        result_so_far = journal_->write_snapshot(*work.snapshot);
    }
    if (ok(result_so_far) && work.truncate_from) {
        result_so_far = journal_->truncate_from(*work.truncate_from);
    }
    if (ok(result_so_far)) {
        result_so_far = journal_->append(work.entries);
    }
    return ok(result_so_far) ? journal_->sync() : result_so_far;
}

void node::process_output(consensus::output work, clock::time_point now)
{
    const status written = write(work);
    if (!ok(written)) {
        stop_with_error(failure(written));
        return;
    }
    for (pb::consensus_message& message : work.messages) {
        outbox.push_back(std::move(message));
    }
    if (work.restore_state) {
        restore(*work.restore_state, work.snapshot->last_index());
    }
    for (const pb::log_entry& entry : work.committed) {
        apply(entry);
    }
    compact_if_due();
    if (core_ && (!work.entries.empty() || work.snapshot)) {
        process_output(core_->on_synced(now), now);
    }
}

void node::apply(const pb::log_entry& entry)
{
    if (entry.index() <= applied_index_) {
        return;
    }
    const std::string bytes = entry.SerializeAsString();
    digest_ = digest_with(digest_, bytes);
    applied_index_ = entry.index();
    applied.push_back(applied_entry{entry.index(), bytes, digest_});
}

void node::restore(const std::string& state, std::uint64_t index)
{
    digest_ = std::strtoull(state.c_str(), nullptr, 10);
    applied_index_ = index;
    snapshot_index_ = index;
    applied.push_back(applied_entry{index, {}, digest_});
}

void node::compact_if_due()
{
    if (!core_ || applied_index_ - snapshot_index_ < options_.snapshot_after) {
        return;
    }
    const pb::snapshot_record record =
        core_->compact(applied_index_, state_text(digest_, options_.state_bytes));
    snapshot_index_ = applied_index_;
    const status written = journal_->write_snapshot(record);
    if (!ok(written)) {
        stop_with_error(failure(written));
    }
}

} // namespace primrosehead::testing
