#include "state_commands.h"

#include "json_check.h"
#include "state_records.h"
#include "state_replies.h"

#include <primrosehead/environment.h>

#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>

namespace primrosehead {

namespace {

constexpr std::size_t key_digest_bytes = 32; // SHA-256
constexpr std::size_t min_salt_bytes = 16;

pb::operator_reply invalid_name_reply(std::string_view what)
{
    return rejected_reply(
        error_kind::bad_request, fmt::format("The {} is not a name of 1 to 64 characters.", what),
        "Use letters, digits, '.', '_' and '-', beginning with a letter or digit.");
}

// The record under `key` to change, or a new one.
pb::state_record copy_or_new_record(const state_records& records, std::string key)
{
    if (const pb::state_record* existing = records.find(key)) {
        return *existing;
    }
    pb::state_record record;
    record.set_key(std::move(key));
    return record;
}

pb::operator_reply version_conflict_reply(std::string_view what, std::uint64_t current,
                                          std::uint64_t base)
{
    return rejected_reply(
        error_kind::version_conflict,
        fmt::format("{} is at version {}, the change is based on {}.", what, current, base),
        "Look at the present document (primrosectl show) and base the change on it.", current);
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

// Refuses a promotion that is not based on the trial document or was record already.
std::optional<pb::operator_reply> check_promotion(const pb::environment_record& existing,
                                                  const pb::promote_environment& promote)
{
    if (promote.base_version() != existing.trial_version()) {
        return version_conflict_reply("The trial document", existing.trial_version(),
                                      promote.base_version());
    }
    if (existing.production_version() == existing.trial_version()) {
        return rejected_reply(
            error_kind::version_conflict,
            fmt::format("Production is at version {} already.", existing.production_version()),
            "Store another trial document first.", existing.production_version());
    }
    const result<environment> parsed = parse_environment(existing.trial_document());
    if (!ok(parsed)) {
        return rejected_reply(failure(parsed), existing.trial_version());
    }
    return std::nullopt;
}

pb::operator_reply apply_body(state_records& records, const pb::promote_environment& promote,
                              const state_switches& switches)
{
    const std::string key = record_key(environment_prefix, promote.name());
    if (records.find(key) == nullptr) {
        return rejected_reply(error_kind::bad_request, "There is no environment of this name.",
                              "Store a trial document first (primrosectl trial).");
    }
    pb::state_record record = copy_or_new_record(records, key);
    pb::environment_record& changed = *record.mutable_environment();
    auto rejection = check_promotion(changed, promote);
    if (rejection && switches.check_base_versions) {
        return std::move(*rejection);
    }
    changed.set_production_version(changed.trial_version());
    changed.set_production_document(changed.trial_document());
    const std::uint64_t version = changed.production_version();
    records.update(std::move(record));
    return accepted_reply(version);
}

pb::operator_reply apply_body(state_records& records, const pb::issue_key& issue)
{
    const pb::key_record& key = issue.key();
    if (!is_valid_name(key.key_id()) || !is_valid_name(key.organisation())) {
        return invalid_name_reply("key id or organisation");
    }
    if (key.digest().size() != key_digest_bytes || key.salt().size() < min_salt_bytes) {
        return rejected_reply(error_kind::bad_request, "The key's salt or digest has a wrong size.",
                              "Issue keys with primrosectl keys issue.");
    }
    pb::state_record record = copy_or_new_record(records, record_key(key_prefix, key.key_id()));
    if (record.has_key_value()) {
        return rejected_reply(error_kind::bad_request, "There is a key of this id already.",
                              "Issue a key with another id.");
    }
    *record.mutable_key_value() = key;
    record.mutable_key_value()->set_withdrawn(false);
    records.update(std::move(record));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::withdraw_key& withdraw)
{
    const std::string key = record_key(key_prefix, withdraw.key_id());
    if (records.find(key) == nullptr) {
        return rejected_reply(error_kind::bad_request, "There is no key of this id.",
                              "Look the id up: it is the part between the underscores of a key.");
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
        return rejected_reply(error_kind::bad_request, "There is no instance of this name.",
                              "Look the name up with primrosectl status.");
    }
    pb::state_record tombstone;
    tombstone.set_key(key);
    tombstone.set_removed(true);
    records.update(std::move(tombstone));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::note_group& note)
{
    if (!is_valid_name(note.database())) {
        return invalid_name_reply("database");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(group_prefix, note.database()));
    pb::group_record& group = *record.mutable_group();
    group.set_database(note.database());
    *group.mutable_members() = note.members();
    group.set_seen_primary(note.seen_primary());
    records.update(std::move(record));
    return accepted_reply(records.version());
}

// The highest version counts: an older one is acknowledged and changes nothing.
pb::operator_reply apply_body(state_records& records, const pb::published_record& publish)
{
    if (!is_valid_name(publish.name())) {
        return invalid_name_reply("document");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(published_prefix, publish.name()));
    const pb::published_record& existing = record.published();
    if (publish.version() < existing.version()) {
        return accepted_reply(existing.version());
    }
    if (publish.version() == existing.version()) {
        if (publish.content_hash() == existing.content_hash()) {
            return accepted_reply(existing.version());
        }
        return rejected_reply(error_kind::version_conflict,
                              fmt::format("Version {} holds another document.", existing.version()),
                              "Read the present document and publish under a higher version.",
                              existing.version());
    }
    *record.mutable_published() = publish;
    records.update(std::move(record));
    return accepted_reply(publish.version());
}

pb::operator_reply wrong_term_reply(std::uint64_t current, std::uint64_t proposed)
{
    return rejected_reply(
        error_kind::wrong_term,
        fmt::format("The database group is in term {}, not {}.", current, proposed),
        "Begin a promotion with a greater term.", current);
}

pb::operator_reply apply_body(state_records& records, const pb::begin_promotion& begin,
                              const state_switches& switches)
{
    if (!is_valid_name(begin.database())) {
        return invalid_name_reply("database");
    }
    pb::state_record record =
        copy_or_new_record(records, record_key(group_prefix, begin.database()));
    pb::group_record& group = *record.mutable_group();
    if (switches.check_terms && begin.new_term() <= group.term()) {
        return wrong_term_reply(group.term(), begin.new_term());
    }
    group.set_database(begin.database());
    group.set_term(begin.new_term());
    group.clear_primary();
    group.clear_primary_url();
    records.update(std::move(record));
    return accepted_reply(records.version());
}

pb::operator_reply apply_body(state_records& records, const pb::finish_promotion& finish,
                              const state_switches& switches)
{
    const std::string key = record_key(group_prefix, finish.database());
    const pb::state_record* existing = records.find(key);
    const std::uint64_t open_term = existing == nullptr ? 0 : existing->group().term();
    if (existing == nullptr || finish.term() != open_term || finish.primary().empty()) {
        return wrong_term_reply(open_term, finish.term());
    }
    const std::string& primary = existing->group().primary();
    if (primary == finish.primary()) {
        return accepted_reply(records.version());
    }
    if (switches.check_terms && !primary.empty()) {
        return rejected_reply(error_kind::wrong_term,
                              fmt::format("Term {} has the primary {}.", open_term, primary),
                              "Begin a promotion with a greater term.", open_term);
    }
    pb::state_record record = *existing;
    pb::group_record& group = *record.mutable_group();
    group.set_primary(finish.primary());
    group.set_primary_url(finish.primary_url());
    pb::term_start& start = *group.add_starts();
    start.set_term(finish.term());
    start.set_index(finish.start_index());
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
    case pb::command::kNote:
        return apply_body(records, command.note());
    case pb::command::kPublish:
        return apply_body(records, command.publish());
    case pb::command::BODY_NOT_SET:
        break;
    }
    return rejected_reply(error_kind::bad_request,
                          "The change is of no kind that this instance knows.",
                          "Use a primrosectl of the same version.");
}

} // namespace primrosehead
