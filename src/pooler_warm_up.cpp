#include "pooler_warm_up.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace primrosehead::pooler {

namespace {

constexpr clock::duration size_retention{10'000};
// An instance that starts together with the fleet is first told of a part of it only.
constexpr clock::duration settle_time{1'000};
// The parts of the rate that are given out. The rest covers tokens that were not used at once; see
// docs/design/regions-and-warm-up.md.
constexpr double largest_part = 0.8;
constexpr double beside_home_part = 0.1;
// Of many instances the tokens of several fall into the same second by chance. Their number varies
// more, compared to the rate, at small rates: with 0.7 of 5 requests a second, 75 instances sent 13
// in one second (the bound is 12.5).
constexpr double smallest_part = 0.4;
constexpr double smallest_part_rate = 5;
constexpr double part_per_doubling = 0.09; // of the rate
// Up to this many instances, one token more of each of them is within the bound.
constexpr double certain_instances = 5;
constexpr double certain_instances_of_rate = 0.5;
// Unused tokens end: those of a whole fleet could otherwise be used at once.
constexpr double token_lifetime_ms = 200;
// The previous home may still act as one until it has been dropped from the list of peers.
constexpr clock::duration home_take_over_time{1'500};

double part_of(warm_up_share share, double per_s, double instances)
{
    switch (share) {
    case warm_up_share::home:
        return largest_part;
    case warm_up_share::beside_home:
        return beside_home_part;
    case warm_up_share::instance:
        break;
    }
    if (instances <= certain_instances + certain_instances_of_rate * per_s) {
        return largest_part;
    }
    return std::clamp(smallest_part + part_per_doubling * std::log2(per_s / smallest_part_rate),
                      smallest_part, largest_part);
}

// Returns a number from 0 to below 1.
double phase_of(std::string_view instance, std::string_view server)
{
    const std::uint64_t seed = XXH3_64bits(instance.data(), instance.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(server.data(), server.size(), seed);
    return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

} // namespace

bool is_cold(const warm_up_facts& facts, clock::time_point now) noexcept
{
    if (now < facts.cold_until) {
        return true;
    }
    const std::optional<clock::time_point>& withdrawn_at = facts.evacuation_withdrawn_at;
    return withdrawn_at && facts.announced_at <= *withdrawn_at &&
           now < *withdrawn_at + facts.warm_up_time;
}

void warm_up::set_fleet_size(std::uint32_t instances, clock::time_point now)
{
    if (instances == 0) {
        return;
    }
    known_since_ = known_since_.value_or(now);
    while (!sizes_.empty() && sizes_.back().instances <= instances) {
        sizes_.pop_back();
    }
    sizes_.push_back({instances, now});
    while (now - sizes_.front().at > size_retention) {
        sizes_.pop_front();
    }
}

std::optional<std::uint32_t> warm_up::fleet_size(clock::time_point now) const
{
    if (!known_since_ || now - *known_since_ < settle_time) {
        return std::nullopt;
    }
    return sizes_.front().instances;
}

warm_up::server_state& warm_up::state_of(std::string_view server, clock::time_point now)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        return found->second;
    }
    server_state& made = servers_[std::string(server)];
    made.cold_since = now;
    return made;
}

// Returns the time between two requests of this instance; 0 if the fleet size is unknown.
double warm_up::interval_ms(double per_s, warm_up_share share, clock::time_point now) const
{
    const std::optional<std::uint32_t> instances = fleet_size(now);
    if (!instances) {
        return 0;
    }
    const double divisor = share == warm_up_share::home ? 1 : *instances;
    return 1'000 * divisor / (per_s * part_of(share, per_s, *instances));
}

bool warm_up::may_start(std::string_view server, double per_s, warm_up_share share,
                        clock::time_point now)
{
    if (!(per_s > 0)) {
        return true;
    }
    server_state& state = state_of(server, now);
    if (share != warm_up_share::home) {
        state.home_since.reset();
    }
    else {
        state.home_since = state.home_since.value_or(now);
    }
    const double interval = interval_ms(per_s, share, now);
    const bool takes_over = state.home_since && now - *state.home_since < home_take_over_time;
    if (interval == 0 || takes_over) {
        return false;
    }
    const double phase = phase_of(instance_, server) * interval;
    const auto time = static_cast<double>(to_ms(now));
    const double token_at = std::floor((time + phase) / interval) * interval - phase;
    const clock::time_point used_at =
        std::max({state.cold_since, state.started_at, state.paid_until});
    return time - token_at < token_lifetime_ms && token_at > static_cast<double>(to_ms(used_at));
}

void warm_up::record_start(std::string_view server, clock::time_point now)
{
    state_of(server, now).started_at = now;
}

void warm_up::record_unlimited_start(std::string_view server, double per_s, warm_up_share share,
                                     clock::time_point now)
{
    if (!(per_s > 0)) {
        return;
    }
    server_state& state = state_of(server, now);
    const auto interval =
        clock::duration(static_cast<std::int64_t>(std::ceil(interval_ms(per_s, share, now))));
    state.paid_until = std::max(state.paid_until, now) + interval;
}

void warm_up::record_warm(std::string_view server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        servers_.erase(found);
    }
}

} // namespace primrosehead::pooler
