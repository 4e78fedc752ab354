#include "pooler_primary.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

// A server that refused may have been promoted since.
constexpr clock::duration refusal_validity{150};
// What this instance saw itself so recently counts more than what it is told.
constexpr clock::duration observation_validity{300};

} // namespace

void primary_tracker::set_servers(std::vector<known_server> known)
{
    known_ = std::move(known);
    const auto is_known = [this](std::string_view server) {
        return std::any_of(known_.begin(), known_.end(),
                           [&](const known_server& each) { return each.server == server; });
    };
    if (!is_known(current_)) {
        current_.clear();
        failing_since_.reset();
        write_failing_since_.reset();
    }
    std::erase_if(refused_at_, [&](const auto& item) { return !is_known(item.first); });
}

void primary_tracker::record_control_report(std::string_view server, std::uint64_t generation,
                                            clock::time_point now)
{
    if (generation < generation_ || server == current_ || !may_be_primary(server, now)) {
        generation_ = std::max(generation_, generation);
        return;
    }
    const bool has_recent_observation =
        !current_.empty() && reached_at_ && now - *reached_at_ < observation_validity;
    if (generation == generation_ && has_recent_observation) {
        return;
    }
    generation_ = generation;
    change_to(server);
}

void primary_tracker::record_primary(std::string_view server, clock::time_point now)
{
    if (current_ != server) {
        change_to(server);
    }
    reached_at_ = now;
    failing_since_.reset();
    refused_at_.erase(std::string(server));
}

void primary_tracker::change_to(std::string_view server)
{
    current_ = server;
    reached_at_.reset();
    failing_since_.reset();
    write_failing_since_.reset();
}

void primary_tracker::record_refusal(std::string_view server, clock::time_point now)
{
    refused_at_.insert_or_assign(std::string(server), now);
    if (current_ == server) {
        current_.clear();
        failing_since_.reset();
        write_failing_since_.reset();
    }
}

void primary_tracker::record_write_success(clock::time_point /*now*/)
{
    write_failing_since_.reset();
}

void primary_tracker::record_write_failure(clock::time_point sent_at)
{
    if (!write_failing_since_) {
        write_failing_since_ = sent_at;
    }
}

void primary_tracker::record_unreachable(std::string_view server, clock::time_point now)
{
    if (server == current_ && !failing_since_) {
        failing_since_ = now;
    }
}

bool primary_tracker::may_be_primary(std::string_view server, clock::time_point now) const
{
    const auto found = refused_at_.find(server);
    return found == refused_at_.end() || now - found->second >= refusal_validity;
}

std::string primary_tracker::likely_primary(clock::time_point now) const
{
    if (!current_.empty()) {
        return current_;
    }
    for (const bool claims : {true, false}) {
        for (const known_server& each : known_) {
            if (each.claims_primary == claims && may_be_primary(each.server, now)) {
                return each.server;
            }
        }
    }
    return {};
}

primary_sighting primary_tracker::sighting(clock::time_point now) const
{
    primary_sighting seen;
    seen.server = current_;
    if (reached_at_) {
        seen.reached_ago = now - *reached_at_;
    }
    for (const auto& since : {failing_since_, write_failing_since_}) {
        if (since) {
            seen.failing_for = std::max(seen.failing_for, now - *since);
        }
    }
    return seen;
}

} // namespace primrosehead::pooler
