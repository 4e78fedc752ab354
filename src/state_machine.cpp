#include "state_commands.h"
#include "state_records.h"
#include "state_replies.h"
#include "state_requests.h"

#include <primrosehead/config.h>
#include <primrosehead/state.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace primrosehead {

namespace {

constexpr std::size_t checksum_bytes = sizeof(XXH64_canonical_t);

error corrupt_snapshot(std::string_view reason)
{
    error failure;
    failure.kind = error_kind::corrupt_storage;
    failure.message =
        "The snapshot of the replicated state is corrupt: " + std::string(reason) + ".";
    failure.remedy = "Empty the data folder of this instance; it then rejoins as a learner.";
    return failure;
}

pb::operator_reply request_id_reuse_reply()
{
    return rejected_reply(error_kind::bad_request, "This request id was used for another change.",
                          "Send the change with a new request id.");
}

// Returns the checksum that ends a snapshot.
std::string checksum(std::string_view bytes)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH64(bytes.data(), bytes.size(), 0));
    return {reinterpret_cast<const char*>(canonical.digest), sizeof(canonical.digest)};
}

void append_records(pb::state_delta& delta, const std::vector<const pb::state_record*>& records)
{
    for (const pb::state_record* record : records) {
        *delta.add_records() = *record;
    }
}

} // namespace

state_machine::state_machine(cell_name cell, state_switches switches)
    : cell_(std::move(cell)), switches_(switches), records_(std::make_unique<state_records>()),
      requests_(std::make_unique<state_requests>())
{
}

state_machine::~state_machine() = default;
state_machine::state_machine(state_machine&&) noexcept = default;
state_machine& state_machine::operator=(state_machine&&) noexcept = default;

pb::operator_reply state_machine::apply(const pb::command& command)
{
    if (command.request_id().empty() || !switches_.deduplicate_requests) {
        return apply_command(*records_, command, switches_);
    }
    if (command.request_id().size() > config::max_request_id_bytes) {
        return rejected_reply(error_kind::bad_request, "The request id is too long.",
                              "Use at most 128 bytes.");
    }
    const std::uint64_t hash = body_hash(command);
    if (const pb::request_record* existing = requests_->find(command.request_id())) {
        return existing->body_hash() == hash ? existing->reply() : request_id_reuse_reply();
    }
    pb::request_record record;
    record.set_request_id(command.request_id());
    record.set_body_hash(hash);
    *record.mutable_reply() = apply_command(*records_, command, switches_);
    record.mutable_reply()->set_request_id(command.request_id());
    pb::operator_reply reply = record.reply();
    requests_->insert(std::move(record));
    return reply;
}

std::uint64_t state_machine::version() const noexcept
{
    return records_->version();
}

std::uint64_t state_machine::digest() const noexcept
{
    return records_->digest();
}

pb::state_delta state_machine::delta_since(std::uint64_t from_version) const
{
    pb::state_delta delta;
    delta.set_cell(cell_.text());
    delta.set_to_version(version());
    delta.set_digest(digest());
    if (from_version >= version()) {
        delta.set_from_version(version());
    }
    else if (from_version == 0 || from_version < records_->oldest_delta_version()) {
        append_records(delta, records_->live_records());
    }
    else {
        delta.set_from_version(from_version);
        append_records(delta, records_->changed_after(from_version));
    }
    return delta;
}

std::string state_machine::snapshot() const
{
    pb::state_delta delta;
    delta.set_cell(cell_.text());
    delta.set_from_version(records_->oldest_delta_version());
    delta.set_to_version(version());
    delta.set_digest(digest());
    append_records(delta, records_->changed_after(0));
    requests_->for_each([&](const pb::request_record& request) {
        pb::state_record& record = *delta.add_records();
        record.set_key(record_key(request_prefix, request.request_id()));
        *record.mutable_request() = request;
    });
    std::string bytes = delta.SerializeAsString();
    bytes += checksum(bytes);
    return bytes;
}

result<state_machine> state_machine::restore(std::string_view snapshot)
{
    const std::size_t size = snapshot.size() - std::min(snapshot.size(), checksum_bytes);
    const std::string_view body = snapshot.substr(0, size);
    if (snapshot.substr(size) != checksum(body)) {
        return corrupt_snapshot("its checksum does not match");
    }
    pb::state_delta delta;
    if (!delta.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return corrupt_snapshot("it cannot be parsed");
    }
    state_machine restored{cell_name(delta.cell())};
    for (pb::state_record& record : *delta.mutable_records()) {
        if (record.has_request()) {
            restored.requests_->insert(std::move(*record.mutable_request()));
        }
        else {
            restored.records_->put(std::move(record));
        }
    }
    restored.records_->set_version(delta.to_version());
    restored.records_->set_oldest_delta_version(delta.from_version());
    if (restored.digest() != delta.digest()) {
        return corrupt_snapshot("its digest does not match");
    }
    return restored;
}

const pb::environment_record* state_machine::environment(std::string_view name) const
{
    const pb::state_record* found = records_->find(record_key(environment_prefix, name));
    return found == nullptr ? nullptr : &found->environment();
}

const pb::group_record* state_machine::group(std::string_view database) const
{
    const pb::state_record* found = records_->find(record_key(group_prefix, database));
    return found == nullptr ? nullptr : &found->group();
}

const pb::instance_record* state_machine::instance(std::string_view name) const
{
    const pb::state_record* found = records_->find(record_key(instance_prefix, name));
    return found == nullptr ? nullptr : &found->instance();
}

const pb::key_record* state_machine::key(std::string_view key_id) const
{
    const pb::state_record* found = records_->find(record_key(key_prefix, key_id));
    return found == nullptr ? nullptr : &found->key_value();
}

const pb::published_record* state_machine::published(std::string_view name) const
{
    const pb::state_record* found = records_->find(record_key(published_prefix, name));
    return found == nullptr ? nullptr : &found->published();
}

const state_records& state_machine::records() const noexcept
{
    return *records_;
}

} // namespace primrosehead
