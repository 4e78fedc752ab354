#include "cell_directory_copy.h"

#include <algorithm>
#include <utility>

namespace primrosehead::cell {

pb::server_announcement directory_copy::with_age(const copied_server& server, clock::time_point now)
{
    pb::server_announcement aged = server.announcement;
    if (aged.has_leaving_ms()) {
        const clock::duration held = std::max(clock::duration(0), now - server.as_of);
        aged.set_leaving_ms(aged.leaving_ms() + static_cast<std::uint32_t>(held.count()));
    }
    return aged;
}

// Replaces all servers. Those that were in the copy and are not listed count as removed.
void directory_copy::assign(const pb::follow_reply& reply, clock::time_point asked_at)
{
    const std::uint64_t revision = reply.directory_revision();
    if (reply.control_term() != term_) {
        changes_.reset(revision); // revisions of different leaders are not comparable
    }
    auto previous = std::exchange(servers_, {});
    for (const pb::server_announcement& server : reply.servers()) {
        changes_.record_change(server.server(), revision);
        servers_.insert_or_assign(server.server(), copied_server{server, asked_at});
        previous.erase(server.server());
    }
    for (const auto& [name, server] : previous) {
        if (reply.control_term() == term_) {
            changes_.record_removal(name, revision);
        }
    }
    term_ = reply.control_term();
    revision_ = revision;
}

bool directory_copy::apply(const pb::follow_reply& reply, clock::time_point asked_at)
{
    const std::uint64_t revision = reply.directory_revision();
    const bool is_same_term = reply.control_term() == term_;
    const bool is_earlier = reply.control_term() < term_ || (is_same_term && revision < revision_);
    bool has_changed = false;
    if (is_earlier) {
        return false;
    }
    if (reply.servers_size() > 0 && reply.directory_base_revision() == 0) {
        assign(reply, asked_at);
        has_changed = true;
    }
    else if (reply.servers_size() > 0 && is_same_term && revision > revision_ &&
             reply.directory_base_revision() <= revision_) {
        for (const pb::server_announcement& server : reply.servers()) {
            if (server.gone() && server.group().empty()) {
                changes_.record_removal(server.server(), revision);
                servers_.erase(server.server());
                continue;
            }
            changes_.record_change(server.server(), revision);
            servers_.insert_or_assign(server.server(), copied_server{server, asked_at});
        }
        revision_ = revision;
        has_changed = true;
    }
    if (reply.control_term() == term_ && revision == revision_) {
        has_changed = has_changed || is_complete_ != reply.directory_complete();
        is_complete_ = reply.directory_complete();
    }
    return has_changed;
}

bool directory_copy::is_held_by(const pb::follow_request& request) const
{
    return request.control_term() == term_ && request.directory_revision() == revision_;
}

std::vector<pb::server_announcement> directory_copy::changes_for(const pb::follow_request& request,
                                                                 clock::time_point now,
                                                                 std::uint64_t& base_revision) const
{
    const std::uint64_t held = request.directory_revision();
    const bool has_delta =
        request.control_term() == term_ && held <= revision_ && changes_.covers(held);
    base_revision = has_delta ? held : 0;
    std::vector<pb::server_announcement> changes;
    for (const auto& [name, server] : servers_) {
        if (!has_delta || changes_.has_changed(name, held)) {
            changes.push_back(with_age(server, now));
        }
    }
    if (has_delta) {
        changes_.append_removed(held, changes);
    }
    return changes;
}

std::vector<pb::server_announcement> directory_copy::servers(clock::time_point now) const
{
    std::vector<pb::server_announcement> all;
    all.reserve(servers_.size());
    for (const auto& [name, server] : servers_) {
        all.push_back(with_age(server, now));
    }
    return all;
}

const pb::server_announcement* directory_copy::find(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second.announcement;
}

} // namespace primrosehead::cell
