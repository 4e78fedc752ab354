#include "fleet_instances.h"

#include <algorithm>

namespace primrosehead::fleet {

namespace {

constexpr clock::duration registration_retry{500};
constexpr clock::duration retention{60'000};
constexpr std::size_t max_unconfirmed_replies = 64;

bool is_same(const pb::instance_record& left, const pb::instance_record& right)
{
    return left.failure_domain() == right.failure_domain() && left.endpoint() == right.endpoint() &&
           left.http_url() == right.http_url() && left.leaving() == right.leaving();
}

bool is_stale(const instance_entry& entry, const pb::heartbeat& heartbeat)
{
    return entry.incarnation == heartbeat.incarnation() && heartbeat.sequence() <= entry.sequence;
}

void confirm_replies(instance_entry& entry, std::uint64_t answered)
{
    while (!entry.replies.empty() && entry.replies.front().sequence <= answered) {
        entry.confirmed_revision = entry.replies.front().revision;
        entry.replies.pop_front();
    }
    while (entry.replies.size() > max_unconfirmed_replies) {
        entry.replies.pop_front();
    }
}

} // namespace

instance_entry* instance_table::record_heartbeat(const pb::heartbeat& heartbeat,
                                                 clock::time_point now)
{
    instance_entry& entry = entries_[heartbeat.instance()];
    if (is_stale(entry, heartbeat)) {
        return nullptr;
    }
    if (entry.incarnation != heartbeat.incarnation()) {
        entry = instance_entry{};
        entry.incarnation = heartbeat.incarnation();
    }
    entry.self = heartbeat.self();
    entry.self.set_instance(heartbeat.instance());
    entry.sequence = heartbeat.sequence();
    entry.state_version = heartbeat.state_version();
    entry.last_heartbeat_at = now;
    confirm_replies(entry, heartbeat.answered_sequence());
    return &entry;
}

const instance_entry* instance_table::find(std::string_view instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end() ? nullptr : &found->second;
}

bool instance_table::is_live(const instance_entry& entry, clock::time_point now) const
{
    return now - entry.last_heartbeat_at < timeout_;
}

std::vector<std::string> instance_table::live(clock::time_point now) const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries_) {
        if (is_live(entry, now)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<pb::command> instance_table::registrations(const state_machine& state,
                                                       clock::time_point now)
{
    std::vector<pb::command> commands;
    for (auto& [name, entry] : entries_) {
        const pb::instance_record* known = state.instance(name);
        const bool is_known = known != nullptr && is_same(*known, entry.self);
        const bool is_due = now - entry.registration_proposed_at >= registration_retry;
        if (is_known || !is_due || !is_live(entry, now)) {
            continue;
        }
        entry.registration_proposed_at = now;
        pb::command command;
        *command.mutable_register_one()->mutable_instance() = entry.self;
        commands.push_back(std::move(command));
    }
    return commands;
}

void instance_table::remove_expired(clock::time_point now)
{
    std::erase_if(entries_, [now](const auto& item) {
        return now - item.second.last_heartbeat_at > retention;
    });
}

} // namespace primrosehead::fleet
