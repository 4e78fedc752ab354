#include "cell_directory_changes.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Bounds the memory for removed servers; a requester with an older revision gets all servers.
constexpr std::size_t max_removed_servers = 512;

} // namespace

void directory_changes::reset(std::uint64_t revision)
{
    changed_.clear();
    removed_.clear();
    oldest_revision_ = revision;
}

void directory_changes::record_change(std::string_view server, std::uint64_t revision)
{
    changed_.insert_or_assign(std::string(server), revision);
    const auto found = removed_.find(server);
    if (found != removed_.end()) {
        removed_.erase(found);
    }
}

void directory_changes::record_removal(std::string_view server, std::uint64_t revision)
{
    const auto found = changed_.find(server);
    if (found != changed_.end()) {
        changed_.erase(found);
    }
    removed_.insert_or_assign(std::string(server), revision);
    if (removed_.size() > max_removed_servers) {
        const auto oldest = std::min_element(
            removed_.begin(), removed_.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        oldest_revision_ = std::max(oldest_revision_, oldest->second);
        removed_.erase(oldest);
    }
}

bool directory_changes::has_changed(std::string_view server, std::uint64_t since) const
{
    const auto found = changed_.find(server);
    return found != changed_.end() && found->second > since;
}

void directory_changes::append_removed(std::uint64_t revision,
                                       std::vector<pb::server_announcement>& announcements) const
{
    for (const auto& [server, removed_at] : removed_) {
        if (removed_at > revision) {
            pb::server_announcement& gone = announcements.emplace_back();
            gone.set_server(server);
            gone.set_gone(true);
        }
    }
}

} // namespace primrosehead::cell
