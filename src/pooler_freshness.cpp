#include "pooler_freshness.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

constexpr clock::duration retention{10'000}; // above the staleness bound of any route
constexpr clock::duration min_spacing{20};   // closer ones are joined into the earlier one

} // namespace

void freshness_tracker::record(std::string_view primary, log_position at,
                               clock::time_point requested_at)
{
    if (!observations_.empty() && at.term < observations_.back().at.term) {
        return; // an answer from before a change of primary
    }
    if (primary != primary_) {
        if (!observations_.empty() && requested_at < observations_.back().requested_at) {
            return;
        }
        observations_.clear();
        primary_ = primary;
    }
    while (!observations_.empty() &&
           requested_at - observations_.front().requested_at > retention) {
        observations_.pop_front();
    }
    if (observations_.empty()) {
        observations_.push_back({requested_at, at});
        return;
    }
    observation& last = observations_.back();
    if (requested_at < last.requested_at) {
        return; // answers overtook each other; the later one covers more
    }
    if (observations_.size() > 1 &&
        requested_at - observations_[observations_.size() - 2].requested_at < min_spacing) {
        last = {requested_at, std::max(last.at, at)};
        return;
    }
    observations_.push_back({requested_at, std::max(last.at, at)});
}

std::optional<log_position> freshness_tracker::position_covering(clock::time_point since) const
{
    const auto found = std::lower_bound(
        observations_.begin(), observations_.end(), since,
        [](const observation& each, clock::time_point time) { return each.requested_at < time; });
    return found == observations_.end() ? std::nullopt : std::optional(found->at);
}

std::optional<clock::time_point> freshness_tracker::newest_request_at() const
{
    return observations_.empty() ? std::nullopt : std::optional(observations_.back().requested_at);
}

std::uint64_t freshness_tracker::newest_term() const
{
    return observations_.empty() ? 0 : observations_.back().at.term;
}

} // namespace primrosehead::pooler
