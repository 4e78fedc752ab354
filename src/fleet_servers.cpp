#include "fleet_servers.h"

namespace primrosehead::fleet {

namespace {

// An instance that reported a server within this time has first-hand data and needs no copy.
constexpr clock::duration direct_report_validity{300};
constexpr clock::duration retention{60'000};

bool is_reported_by(const server_entry& entry, std::string_view instance, clock::time_point now)
{
    const auto found = entry.reporters.find(instance);
    return found != entry.reporters.end() && now - found->second < direct_report_validity;
}

pb::server_report with_age(const server_entry& entry, clock::time_point now)
{
    pb::server_report report = entry.report;
    report.set_age_ms(static_cast<std::uint64_t>((now - entry.reported_at).count()));
    return report;
}

} // namespace

const server_entry* server_table::record_report(const pb::server_report& report,
                                                std::string_view reporter, clock::time_point now)
{
    server_entry& entry = entries_[report.server()];
    entry.reporters.insert_or_assign(std::string(reporter), now);
    const clock::time_point reported_at = now - clock::duration(report.age_ms());
    if (entry.revision != 0 && reported_at <= entry.reported_at) {
        return nullptr;
    }
    if (entry.report.database() != report.database()) {
        groups_[entry.report.database()].erase(report.server());
        groups_[report.database()].insert(report.server());
    }
    entry.report = report;
    entry.reported_at = reported_at;
    entry.revision = ++revision_;
    return &entry;
}

std::vector<pb::server_report> server_table::changed_since(std::uint64_t revision,
                                                           std::string_view instance,
                                                           clock::time_point now) const
{
    std::vector<pb::server_report> changed;
    for (const auto& [name, entry] : entries_) {
        if (entry.revision > revision && !is_reported_by(entry, instance, now)) {
            changed.push_back(with_age(entry, now));
        }
    }
    return changed;
}

std::vector<server_entry*> server_table::group(std::string_view database)
{
    std::vector<server_entry*> members;
    const auto found = groups_.find(database);
    if (found == groups_.end()) {
        return members;
    }
    for (const std::string& server : found->second) {
        members.push_back(&entries_.at(server));
    }
    return members;
}

server_entry* server_table::find(std::string_view server)
{
    const auto found = entries_.find(server);
    return found == entries_.end() ? nullptr : &found->second;
}

const std::map<std::string, server_entry, std::less<>>& server_table::all() const noexcept
{
    return entries_;
}

void server_table::remove_expired(clock::time_point now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (now - entry->second.reported_at <= retention) {
            ++entry;
            continue;
        }
        groups_[entry->second.report.database()].erase(entry->first);
        entry = entries_.erase(entry);
    }
}

} // namespace primrosehead::fleet
