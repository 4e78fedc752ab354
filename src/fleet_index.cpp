#include "fleet_index.h"

#include "primrosehead.pb.h"

namespace primrosehead::fleet {

namespace {

constexpr std::string_view group_prefix = "group/";
constexpr std::string_view instance_prefix = "instance/";

failover::group_view make_group_view(const pb::group_record& group, std::uint64_t version)
{
    failover::group_view view;
    view.term = group.term();
    view.version = version;
    if (!group.primary().empty()) {
        view.primary = server_name(group.primary());
    }
    for (const pb::term_start& start : group.starts()) {
        view.term_starts.push_back({start.term(), start.index()});
    }
    return view;
}

} // namespace

bool state_index::update(const state_machine& state)
{
    if (state.version() == version_) {
        return false;
    }
    const pb::state_delta delta = state.delta_since(version_);
    for (const pb::state_record& record : delta.records()) {
        apply_record(record);
    }
    version_ = state.version();
    return true;
}

void state_index::apply_record(const pb::state_record& record)
{
    const std::string_view key = record.key();
    if (key.starts_with(group_prefix)) {
        const std::string database(key.substr(group_prefix.size()));
        groups_.insert_or_assign(database, make_group_view(record.group(), record.version()));
    }
    else if (key.starts_with(instance_prefix)) {
        const std::string instance(key.substr(instance_prefix.size()));
        const bool serves_callers = !record.removed() && !record.instance().http_url().empty();
        if (serves_callers) {
            entry_instances_.insert(instance);
        }
        else {
            entry_instances_.erase(instance);
        }
    }
}

failover::group_view state_index::group(std::string_view database) const
{
    const auto found = groups_.find(database);
    return found == groups_.end() ? failover::group_view{} : found->second;
}

std::uint32_t state_index::entry_instances() const noexcept
{
    return static_cast<std::uint32_t>(entry_instances_.size());
}

} // namespace primrosehead::fleet
