#include "pooler_relay_chooser.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace primrosehead::pooler {

namespace {

constexpr clock::duration min_avoidance{3'000};
constexpr clock::duration max_avoidance{30'000};
constexpr std::uint32_t max_doublings = 5;

std::uint64_t rendezvous_weight(std::string_view instance, std::string_view endpoint)
{
    const std::uint64_t seed = XXH3_64bits(instance.data(), instance.size());
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), seed);
}

} // namespace

relay_chooser::relay_chooser(std::string instance, std::string failure_domain)
    : instance_(std::move(instance)), failure_domain_(std::move(failure_domain))
{
}

void relay_chooser::set_relays(std::vector<relay_candidate> relays)
{
    relays_ = std::move(relays);
    order();
    std::erase_if(failures_, [&](const auto& item) {
        return std::none_of(relays_.begin(), relays_.end(), [&](const relay_candidate& each) {
            return each.endpoint == item.first;
        });
    });
}

void relay_chooser::order()
{
    const auto preference = [this](const relay_candidate& each) {
        return std::tuple(each.failure_domain != failure_domain_,
                          rendezvous_weight(instance_, each.endpoint));
    };
    std::sort(relays_.begin(), relays_.end(),
              [&](const relay_candidate& left, const relay_candidate& right) {
                  return preference(left) < preference(right);
              });
}

void relay_chooser::record_failure(std::string_view endpoint, clock::time_point now)
{
    if (is_avoided(endpoint, now)) {
        return;
    }
    failure_state& state = failures_[std::string(endpoint)];
    const std::uint32_t doublings = std::min(state.count, max_doublings);
    state.avoided_until = now + std::min(max_avoidance, min_avoidance * (1U << doublings));
    ++state.count;
}

void relay_chooser::record_success(std::string_view endpoint)
{
    const auto found = failures_.find(endpoint);
    if (found != failures_.end()) {
        failures_.erase(found);
    }
}

bool relay_chooser::is_avoided(std::string_view endpoint, clock::time_point now) const
{
    const auto found = failures_.find(endpoint);
    return found != failures_.end() && now < found->second.avoided_until;
}

std::string relay_chooser::choose(clock::time_point now) const
{
    return alternative_to({}, now);
}

std::string relay_chooser::alternative_to(std::string_view current, clock::time_point now) const
{
    const auto found =
        std::find_if(relays_.begin(), relays_.end(), [&](const relay_candidate& each) {
            return each.endpoint != current && !is_avoided(each.endpoint, now);
        });
    return found == relays_.end() ? std::string() : found->endpoint;
}

} // namespace primrosehead::pooler
