#include "state_commands.h"

#include "json_check.h"
#include "state_records.h"
#include "state_replies.h"

#include <primrosehead/environment.h>

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace primrosehead {

namespace {

constexpr std::size_t key_digest_bytes = 32; // SHA-256
constexpr std::size_t min_salt_bytes = 16;

pb::operator_reply invalid_name_reply(std::string_view subject)
{
    return rejected_reply(
        error_kind::bad_request,
        fmt::format("The {} is not a valid name of 1 to 64 characters.", subject),
        "Use letters, digits, '.', '_' and '-', starting with a letter or digit.");
}

// Returns a copy of the record under `key`, or a new record if there is none.
pb::state_record copy_or_new_record(const state_records& records, std::string key)
{
    if (const pb::state_record* existing = records.find(key)) {
        return *existing;
    }
    pb::state_record record;
    record.set_key(std::move(key));
    return record;
}

pb::operator_reply version_conflict_reply(std::string_view subject, std::uint64_t current,
                                          std::uint64_t base)
{
    return rejected_reply(error_kind::version_conflict,
                          fmt::format("{} is at version {}, but the change is based on version {}.",
                                      subject, current, base),
                          "Read the current document (primrosectl show) and base the change on it.",
                          current);
}

pb::operator_reply apply_body(state_records& records, const pb::store_trial& trial,
                              const state_switches& switches)
{
    if (!is_valid_name(trial.name())) {
        return invalid_name_reply("environment");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(environment_prefix, trial.name()));
    pb::environment_record& changed = *record.mutable_environment();
    if (switches.check_base_versions && trial.base_version() != changed.trial_version()) {
        return version_conflict_reply("The trial document", changed.trial_version(),
                                      trial.base_version());
    }
    const result<environment> parsed = parse_environment(trial.document());
    if (!ok(parsed)) {
        return rejected_reply(failure(parsed), changed.trial_version());
    }
    changed.set_name(trial.name());
    changed.set_trial_version(changed.trial_version() + 1);
    changed.set_trial_document(trial.document());
    const std::uint64_t version = changed.trial_version();
    records.update(std::move(record));
    return accepted_reply(version);
}

// Returns the rejection of a promotion that is not based on the current trial version, was already
// made, or has a document that does not parse.
std::optional<pb::operator_reply> check_promotion(const pb::environment_record& existing,
                                                  const pb::promote_environment& promotion)
{
    if (promotion.base_version() != existing.trial_version()) {
        return version_conflict_reply("The trial document", existing.trial_version(),
                                      promotion.base_version());
    }
    if (existing.production_version() == existing.trial_version()) {
        return rejected_reply(
            error_kind::version_conflict,
            fmt::format("Production is already at version {}.", existing.production_version()),
            "Store a newer trial document first.", existing.production_version());
    }
    const result<environment> parsed = parse_environment(existing.trial_document());
    if (!ok(parsed)) {
        return rejected_reply(failure(parsed), existing.trial_version());
    }
    return std::nullopt;
}

pb::operator_reply apply_body(state_records& records, const pb::promote_environment& promotion,
                              const state_switches& switches)
{
    const std::string key = record_key(environment_prefix, promotion.name());
    if (records.find(key) == nullptr) {
        return rejected_reply(error_kind::bad_request, "There is no environment with this name.",
                              "Store a trial document first (primrosectl trial).");
    }
    pb::state_record record = copy_or_new_record(records, key);
    pb::environment_record& changed = *record.mutable_environment();
    auto rejection = check_promotion(changed, promotion);
    if (rejection && switches.check_base_versions) {
        return std::move(*rejection);
    }
    changed.set_production_version(changed.trial_version());
    changed.set_production_document(changed.trial_document());
    const std::uint64_t version = changed.production_version();
    records.update(std::move(record));
    return accepted_reply(version);
}

pb::operator_reply apply_body(state_records& records, const pb::issue_key& request)
{
    const pb::key_record& key = request.key();
    if (!is_valid_name(key.key_id()) || !is_valid_name(key.organisation())) {
        return invalid_name_reply("key id or organisation");
    }
    if (key.digest().size() != key_digest_bytes || key.salt().size() < min_salt_bytes) {
        return rejected_reply(error_kind::bad_request,
                              "The key's salt or digest has an invalid size.",
                              "Issue keys with primrosectl keys issue.");
    }
    pb::state_record record = copy_or_new_record(records, record_key(key_prefix, key.key_id()));
    if (record.has_key_value()) {
        return rejected_reply(error_kind::bad_request, "A key with this id already exists.",
                              "Issue the key with another id.");
    }
    *record.mutable_key_value() = key;
    record.mutable_key_value()->set_withdrawn(false);
    records.update(std::move(record));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::withdraw_key& request)
{
    const std::string key = record_key(key_prefix, request.key_id());
    if (records.find(key) == nullptr) {
        return rejected_reply(error_kind::bad_request, "There is no key with this id.",
                              "Check the id: it is the part of a key between its underscores.");
    }
    pb::state_record record = copy_or_new_record(records, key);
    if (!record.key_value().withdrawn()) {
        record.mutable_key_value()->set_withdrawn(true);
        records.update(std::move(record));
    }
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::register_instance& registration)
{
    const pb::instance_record& instance = registration.instance();
    if (!is_valid_name(instance.instance()) || !is_valid_name(instance.failure_domain())) {
        return invalid_name_reply("instance or failure domain");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(instance_prefix, instance.instance()));
    const bool unchanged = record.has_instance() &&
                           record.instance().SerializeAsString() == instance.SerializeAsString();
    if (!unchanged) {
        *record.mutable_instance() = instance;
        records.update(std::move(record));
    }
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::remove_instance& removal)
{
    const std::string key = record_key(instance_prefix, removal.instance());
    if (records.find(key) == nullptr) {
        return rejected_reply(error_kind::bad_request, "There is no instance with this name.",
                              "List the instances with primrosectl status.");
    }
    pb::state_record tombstone;
    tombstone.set_key(key);
    tombstone.set_removed(true);
    records.update(std::move(tombstone));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::note_group& request)
{
    if (!is_valid_name(request.database())) {
        return invalid_name_reply("database");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(group_prefix, request.database()));
    pb::group_record& group = *record.mutable_group();
    group.set_database(request.database());
    *group.mutable_members() = request.members();
    group.set_seen_primary(request.seen_primary());
    group.set_required_term(request.required_term());
    group.set_required_index(request.required_index());
    records.update(std::move(record));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::note_resuming& request)
{
    const std::string key = record_key(group_prefix, request.database());
    const pb::state_record* const existing = records.find(key);
    if (existing == nullptr) {
        return invalid_name_reply("database");
    }
    pb::state_record record = *existing;
    *record.mutable_group()->mutable_resuming() = request.servers();
    records.update(std::move(record));
    return accepted_reply(records.version());
}

// A repeated order changes nothing, and its reply names the version of the first one.
pb::operator_reply apply_body(state_records& records, const pb::set_evacuation& request)
{
    if (!is_valid_name(request.failure_domain())) {
        return invalid_name_reply("failure domain");
    }
    const std::string key = record_key(evacuation_prefix, request.failure_domain());
    const pb::state_record* const existing = records.find(key);
    const bool is_evacuated = existing != nullptr;
    if (is_evacuated != request.withdrawn()) {
        return accepted_reply(is_evacuated ? existing->version() : records.version());
    }
    pb::state_record record;
    record.set_key(key);
    if (request.withdrawn()) {
        record.set_removed(true);
    }
    else {
        record.mutable_evacuation()->set_failure_domain(request.failure_domain());
    }
    records.update(std::move(record));
    return accepted_reply(records.version());
}

// The highest version wins: an older one is acknowledged and changes nothing.
pb::operator_reply apply_body(state_records& records, const pb::published_record& request)
{
    if (!is_valid_name(request.name())) {
        return invalid_name_reply("document");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(published_prefix, request.name()));
    const pb::published_record& existing = record.published();
    if (request.version() < existing.version()) {
        return accepted_reply(existing.version());
    }
    if (request.version() == existing.version()) {
        if (request.content_hash() == existing.content_hash()) {
            return accepted_reply(existing.version());
        }
        return rejected_reply(error_kind::version_conflict,
                              fmt::format("Version {} has different content.", existing.version()),
                              "Read the current document and publish with a higher version.",
                              existing.version());
    }
    *record.mutable_published() = request;
    records.update(std::move(record));
    return accepted_reply(request.version());
}

pb::operator_reply wrong_term_reply(std::uint64_t current, std::uint64_t proposed)
{
    return rejected_reply(
        error_kind::wrong_term,
        fmt::format("The database group is in term {}, not {}.", current, proposed),
        "Begin a promotion with a higher term.", current);
}

pb::operator_reply apply_body(state_records& records, const pb::begin_promotion& request,
                              const state_switches& switches)
{
    if (!is_valid_name(request.database())) {
        return invalid_name_reply("database");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(group_prefix, request.database()));
    pb::group_record& group = *record.mutable_group();
    if (switches.check_terms && request.new_term() <= group.term()) {
        return wrong_term_reply(group.term(), request.new_term());
    }
    group.set_database(request.database());
    group.set_term(request.new_term());
    group.clear_primary();
    group.clear_primary_url();
    records.update(std::move(record));
    return accepted_reply(records.version());
}

// Keeps the servers of earlier requests: the platform may carry these out until it has accepted one
// with a higher term.
pb::operator_reply apply_body(state_records& records, const pb::request_promotion& request)
{
    const std::string key = record_key(group_prefix, request.database());
    const pb::state_record* const existing = records.find(key);
    const std::uint64_t open_term = existing == nullptr ? 0 : existing->group().term();
    if (existing == nullptr || request.term() != open_term || request.server().empty() ||
        !existing->group().primary().empty()) {
        return wrong_term_reply(open_term, request.term());
    }
    pb::state_record record = *existing;
    auto& requested = *record.mutable_group()->mutable_requested();
    requested.erase(std::remove(requested.begin(), requested.end(), request.server()),
                    requested.end());
    requested.Add(std::string(request.server()));
    records.update(std::move(record));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::finish_promotion& request,
                              const state_switches& switches)
{
    const std::string key = record_key(group_prefix, request.database());
    const pb::state_record* existing = records.find(key);
    const std::uint64_t open_term = existing == nullptr ? 0 : existing->group().term();
    if (existing == nullptr || request.term() != open_term || request.primary().empty()) {
        return wrong_term_reply(open_term, request.term());
    }
    const std::string& primary = existing->group().primary();
    if (primary == request.primary()) {
        return accepted_reply(records.version());
    }
    if (switches.check_terms && !primary.empty()) {
        return rejected_reply(
            error_kind::wrong_term,
            fmt::format("Term {} already has the primary {}.", open_term, primary),
            "Begin a promotion with a higher term.", open_term);
    }
    pb::state_record record = *existing;
    pb::group_record& group = *record.mutable_group();
    group.set_primary(request.primary());
    group.set_primary_url(request.primary_url());
    group.clear_requested();
    pb::term_start& start = *group.add_starts();
    start.set_term(request.term());
    start.set_index(request.start_index());
    records.update(std::move(record));
    return accepted_reply(records.version());
}

} // namespace

pb::operator_reply apply_command(state_records& records, const pb::command& command,
                                 const state_switches& switches)
{
    switch (command.body_case()) {
    case pb::command::kTrial:
        return apply_body(records, command.trial(), switches);
    case pb::command::kPromote:
        return apply_body(records, command.promote(), switches);
    case pb::command::kIssue:
        return apply_body(records, command.issue());
    case pb::command::kWithdraw:
        return apply_body(records, command.withdraw());
    case pb::command::kRegisterOne:
        return apply_body(records, command.register_one());
    case pb::command::kRemoveOne:
        return apply_body(records, command.remove_one());
    case pb::command::kBegin:
        return apply_body(records, command.begin(), switches);
    case pb::command::kFinish:
        return apply_body(records, command.finish(), switches);
    case pb::command::kRequest:
        return apply_body(records, command.request());
    case pb::command::kResuming:
        return apply_body(records, command.resuming());
    case pb::command::kNote:
        return apply_body(records, command.note());
    case pb::command::kPublish:
        return apply_body(records, command.publish());
    case pb::command::kEvacuate:
        return apply_body(records, command.evacuate());
    case pb::command::BODY_NOT_SET:
        break;
    }
    return rejected_reply(error_kind::bad_request,
                          "This instance does not support this kind of change.",
                          "Use a primrosectl of the same version.");
}

} // namespace primrosehead
