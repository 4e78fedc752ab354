#include "pooler_primary.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

// A server that refused an operation may have been promoted since.
constexpr clock::duration refusal_validity{150};
// A more recent observation of this instance takes precedence over the control leader's report.
constexpr clock::duration observation_validity{300};

} // namespace

void primary_tracker::set_servers(std::vector<known_server> known)
{
    known_ = std::move(known);
    if (!is_known(current_)) {
        current_.clear();
        reset_health();
    }
    std::erase_if(refused_at_, [this](const auto& item) { return !is_known(item.first); });
}

bool primary_tracker::is_known(std::string_view server) const
{
    return std::any_of(known_.begin(), known_.end(),
                       [&](const known_server& each) { return each.server == server; });
}

void primary_tracker::record_control_report(std::string_view server, std::uint64_t generation,
                                            clock::time_point now)
{
    // The leader may not have heard yet that a server is gone, or this instance of a new one.
    if (generation < generation_ || server == current_ || !is_known(server) ||
        !may_be_primary(server, now)) {
        generation_ = std::max(generation_, generation);
        return;
    }
    const bool has_recent_observation =
        !current_.empty() && reached_at_ && now - *reached_at_ < observation_validity;
    if (generation == generation_ && has_recent_observation) {
        return;
    }
    generation_ = generation;
    set_current(server);
}

void primary_tracker::record_primary(std::string_view server, clock::time_point now)
{
    if (current_ != server) {
        set_current(server);
    }
    reached_at_ = now;
    failing_since_.reset();
    refused_at_.erase(std::string(server));
}

void primary_tracker::set_current(std::string_view server)
{
    current_ = server;
    reached_at_.reset();
    reset_health();
}

void primary_tracker::reset_health() noexcept
{
    written_at_.reset();
    failing_since_.reset();
    write_failing_since_.reset();
}

void primary_tracker::record_refusal(std::string_view server, clock::time_point now)
{
    refused_at_.insert_or_assign(std::string(server), now);
    if (current_ == server) {
        current_.clear();
        reset_health();
    }
}

void primary_tracker::record_write_success(clock::time_point now)
{
    written_at_ = now;
    write_failing_since_.reset();
}

void primary_tracker::record_write_failure(clock::time_point sent_at)
{
    const bool has_written_since = written_at_ && *written_at_ >= sent_at;
    if (!write_failing_since_ && !has_written_since) {
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
    for (const bool claims_primary : {true, false}) {
        for (const known_server& each : known_) {
            if (each.claims_primary == claims_primary && may_be_primary(each.server, now)) {
                return each.server;
            }
        }
    }
    return {};
}

primary_sighting primary_tracker::sighting(clock::time_point now) const
{
    primary_sighting result;
    result.server = current_;
    if (reached_at_) {
        result.reached_ago = now - *reached_at_;
    }
    for (const auto& since : {failing_since_, write_failing_since_}) {
        if (since) {
            result.failing_for = std::max(result.failing_for, now - *since);
        }
    }
    return result;
}

} // namespace primrosehead::pooler
