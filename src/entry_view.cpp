#include "entry_view.h"

#include "primrosehead.pb.h"

#include <primrosehead/state_view.h>

#include <spdlog/spdlog.h>

namespace primrosehead {

namespace {

std::optional<environment> read_document(std::string_view name, const std::string& document)
{
    if (document.empty()) {
        return std::nullopt;
    }
    result<environment> parsed = parse_environment(document);
    if (!ok(parsed)) {
        spdlog::error("entry: Cannot parse environment {}. {}", name, describe(failure(parsed)));
        return std::nullopt;
    }
    return std::move(value(parsed));
}

group_term read_group(const pb::group_record& record)
{
    group_term group;
    group.term = record.term();
    group.primary = server_name(record.primary());
    for (const pb::term_start& start : record.starts()) {
        group.term_starts.push_back({start.term(), start.index()});
    }
    return group;
}

} // namespace

std::unique_ptr<entry_view> entry_view::make(const state_view& state,
                                             std::string_view environment_name)
{
    auto view = std::make_unique<entry_view>();
    view->version_ = state.version();
    if (const pb::environment_record* record = state.environment(environment_name)) {
        view->production_ = read_document(environment_name, record->production_document());
        view->trial_ = read_document(environment_name, record->trial_document());
    }
    view->keys_ = key_table::make(state);
    for (const pb::group_record* group : state.groups()) {
        view->groups_.emplace(database_name(group->database()), read_group(*group));
    }
    std::uint32_t entry_count = 0;
    for (const pb::instance_record* instance : state.instances()) {
        entry_count += instance->http_url().empty() ? 0 : 1;
    }
    view->entry_instance_count_ = std::max(1U, entry_count);
    return view;
}

const environment* entry_view::document(stage target_stage) const noexcept
{
    const std::optional<environment>& chosen = target_stage == stage::trial ? trial_ : production_;
    return chosen ? &*chosen : nullptr;
}

const group_term* entry_view::group(const database_name& database) const noexcept
{
    const auto found = groups_.find(database);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace primrosehead
