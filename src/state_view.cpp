#include "state_records.h"

#include <primrosehead/state_view.h>

#include <utility>

namespace primrosehead {

namespace {

// A delta with base version 0 is a full state and replaces all records.
bool is_full_state(const pb::state_delta& delta)
{
    return delta.from_version() == 0;
}

// Returns the records of a delta that changed after `version`.
std::vector<const pb::state_record*> records_after(const pb::state_delta& delta,
                                                   std::uint64_t version)
{
    std::vector<const pb::state_record*> changed;
    for (const pb::state_record& record : delta.records()) {
        if (record.version() > version) {
            changed.push_back(&record);
        }
    }
    return changed;
}

template <class Record, class Read>
std::vector<const Record*> list_records(const state_records& records, std::string_view prefix,
                                        Read read)
{
    std::vector<const Record*> found;
    for (const pb::state_record* record : records.with_prefix(prefix)) {
        found.push_back(&read(*record));
    }
    return found;
}

} // namespace

std::string_view to_string(delta_outcome outcome) noexcept
{
    switch (outcome) {
    case delta_outcome::advanced:
        return "advanced";
    case delta_outcome::confirmed:
        return "confirmed";
    case delta_outcome::stale:
        return "stale";
    case delta_outcome::gap:
        return "gap";
    case delta_outcome::mismatch:
        return "mismatch";
    case delta_outcome::other_cell:
        return "other_cell";
    }
    return "unknown";
}

state_view::state_view(cell_name cell, bool check_digest)
    : cell_(std::move(cell)), check_digest_(check_digest),
      records_(std::make_unique<state_records>())
{
}

state_view::~state_view() = default;
state_view::state_view(state_view&&) noexcept = default;
state_view& state_view::operator=(state_view&&) noexcept = default;

delta_outcome state_view::apply(const pb::state_delta& delta)
{
    if (delta.cell() != cell_.text()) {
        return delta_outcome::other_cell;
    }
    if (delta.to_version() < version()) {
        return delta_outcome::stale;
    }
    if (delta.from_version() > version()) {
        return delta_outcome::gap;
    }
    const delta_outcome outcome =
        is_full_state(delta) ? apply_full(delta) : apply_incremental(delta);
    needs_full_state_ = outcome == delta_outcome::mismatch;
    return outcome;
}

// Builds a new state from the delta and replaces the current one if the digest matches.
delta_outcome state_view::apply_full(const pb::state_delta& delta)
{
    auto next = std::make_unique<state_records>();
    for (const pb::state_record& record : delta.records()) {
        next->put(record);
    }
    if (check_digest_ && next->digest() != delta.digest()) {
        return delta_outcome::mismatch;
    }
    const bool same = delta.to_version() == version() && next->digest() == digest();
    next->set_version(delta.to_version());
    records_ = std::move(next);
    return same ? delta_outcome::confirmed : delta_outcome::advanced;
}

// Stores the newer records of a delta if the resulting digest matches.
delta_outcome state_view::apply_incremental(const pb::state_delta& delta)
{
    const auto changed = records_after(delta, version());
    if (check_digest_ && records_->digest_after(changed) != delta.digest()) {
        return delta_outcome::mismatch;
    }
    if (delta.to_version() == version()) {
        return delta_outcome::confirmed;
    }
    for (const pb::state_record* record : changed) {
        records_->put(*record);
    }
    records_->set_version(delta.to_version());
    records_->drop_old_tombstones();
    return delta_outcome::advanced;
}

std::uint64_t state_view::version() const noexcept
{
    return records_->version();
}

std::uint64_t state_view::digest() const noexcept
{
    return records_->digest();
}

std::uint64_t state_view::requested_version() const noexcept
{
    return needs_full_state_ ? 0 : version();
}

const pb::environment_record* state_view::environment(std::string_view name) const
{
    const pb::state_record* found = records_->find(record_key(environment_prefix, name));
    return found == nullptr ? nullptr : &found->environment();
}

const pb::group_record* state_view::group(std::string_view database) const
{
    const pb::state_record* found = records_->find(record_key(group_prefix, database));
    return found == nullptr ? nullptr : &found->group();
}

const pb::instance_record* state_view::instance(std::string_view name) const
{
    const pb::state_record* found = records_->find(record_key(instance_prefix, name));
    return found == nullptr ? nullptr : &found->instance();
}

const pb::key_record* state_view::key(std::string_view key_id) const
{
    const pb::state_record* found = records_->find(record_key(key_prefix, key_id));
    return found == nullptr ? nullptr : &found->key_value();
}

std::vector<const pb::group_record*> state_view::groups() const
{
    return list_records<pb::group_record>(
        *records_, group_prefix,
        [](const pb::state_record& record) -> const pb::group_record& { return record.group(); });
}

std::vector<const pb::instance_record*> state_view::instances() const
{
    return list_records<pb::instance_record>(
        *records_, instance_prefix,
        [](const pb::state_record& record) -> const pb::instance_record& {
            return record.instance();
        });
}

std::vector<const pb::key_record*> state_view::keys() const
{
    return list_records<pb::key_record>(
        *records_, key_prefix,
        [](const pb::state_record& record) -> const pb::key_record& { return record.key_value(); });
}

} // namespace primrosehead
