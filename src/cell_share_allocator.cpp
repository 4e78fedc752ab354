#include "cell_share_allocator.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Weight of a new report: follows a shift in load within 1 s.
constexpr double demand_smoothing = 0.2;
// Divided evenly, for the first operations of an idle instance.
constexpr double even_fraction = 0.25;
constexpr double min_relative_change = 0.05; // relative to the share; smaller changes are deferred
constexpr double min_total_demand = 0.001;   // operations per second; below it shares are even
// Shares are even until all instances have had time to report; the first one would otherwise get
// everything.
constexpr clock::duration initial_report_period{1'000};
constexpr double idle_demand = 0.02; // operations per second; below it an instance gets no share

} // namespace

share_allocator::share_allocator(clock::time_point elected_at, clock::duration lease)
    : elected_at_(elected_at), lease_(lease)
{
}

std::uint32_t share_allocator::target_share(const organisation_shares& shares,
                                            const allocation& own, clock::time_point now) const
{
    if (now - shares.first_reported_at < initial_report_period) {
        return static_cast<std::uint32_t>(
            full_share_ppm / std::max(registered_instances_.size(), shares.allocations.size()));
    }
    double total = 0;
    for (const auto& [instance, held] : shares.allocations) {
        total += held.demand;
    }
    if (!keeps_idle_shares_ && total >= min_total_demand && own.demand < idle_demand) {
        return 0;
    }
    const double even = 1.0 / static_cast<double>(shares.allocations.size());
    const double by_demand = total < min_total_demand ? even : own.demand / total;
    return static_cast<std::uint32_t>(full_share_ppm *
                                      (even_fraction * even + (1 - even_fraction) * by_demand));
}

// True while an instance that has not sent a full report since the election may have shares.
bool share_allocator::may_have_unreported_shares(clock::time_point now) const
{
    const bool all_reported = std::all_of(
        registered_instances_.begin(), registered_instances_.end(),
        [this](const std::string& instance) { return fully_reported_.contains(instance); });
    return now - elected_at_ < lease_ && !all_reported;
}

void share_allocator::renew_lease(std::string_view instance, clock::time_point now)
{
    last_renewed_at_.insert_or_assign(std::string(instance), now);
}

void share_allocator::apply_full_report(std::string_view instance,
                                        const std::set<std::string, std::less<>>& reported)
{
    fully_reported_.emplace(instance);
    for (auto& [organisation, shares] : organisations_) {
        const auto held = shares.allocations.find(instance);
        if (held != shares.allocations.end() && !reported.contains(organisation)) {
            shares.allocations.erase(held);
        }
    }
}

void share_allocator::record_confirmation(std::string_view instance, clock::time_point received_at)
{
    last_confirmed_at_.insert_or_assign(std::string(instance), received_at);
}

std::uint32_t share_allocator::confirmed_share(std::string_view organisation,
                                               clock::duration max_age, clock::time_point now) const
{
    const auto found = organisations_.find(organisation);
    std::uint64_t recently_confirmed = 0;
    std::uint64_t unconfirmed = 0;
    if (found != organisations_.end()) {
        for (const auto& [instance, held] : found->second.allocations) {
            const auto confirmed = last_confirmed_at_.find(instance);
            const bool is_recent =
                confirmed != last_confirmed_at_.end() && now - confirmed->second <= max_age;
            (is_recent ? recently_confirmed : unconfirmed) += std::max(held.in_use, held.granted);
        }
    }
    const std::uint64_t part =
        may_have_unreported_shares(now)
            ? recently_confirmed
            : full_share_ppm - std::min<std::uint64_t>(unconfirmed, full_share_ppm);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(part, full_share_ppm));
}

std::uint32_t share_allocator::available_share(const organisation_shares& shares,
                                               clock::time_point now) const
{
    if (may_have_unreported_shares(now)) {
        return 0;
    }
    std::uint64_t used = 0;
    for (const auto& [instance, held] : shares.allocations) {
        used += std::max(held.in_use, held.granted);
    }
    return used >= full_share_ppm ? 0 : full_share_ppm - static_cast<std::uint32_t>(used);
}

std::uint32_t share_allocator::report(std::string_view organisation, std::string_view instance,
                                      std::uint64_t incarnation, std::uint32_t held, double demand,
                                      clock::time_point now)
{
    auto found = organisations_.find(organisation);
    if (found == organisations_.end()) {
        found =
            organisations_.emplace(std::string(organisation), organisation_shares{now, {}}).first;
    }
    organisation_shares& shares = found->second;
    auto entry = shares.allocations.find(instance);
    const bool is_new = entry == shares.allocations.end();
    if (is_new) {
        entry = shares.allocations.emplace(std::string(instance), allocation{}).first;
    }
    allocation& own = entry->second;
    if (is_new || own.incarnation != incarnation) {
        own = allocation{incarnation, held, held, demand};
    }
    own.demand += demand_smoothing * (demand - own.demand);
    renew_lease(instance, now);
    // `held` is the latest grant or, if the reply with it was lost or is late, an earlier one.
    own.in_use = held;
    const std::uint32_t target = target_share(shares, own, now);
    const auto step =
        static_cast<std::uint32_t>(min_relative_change * std::max(target, own.granted));
    if (target + step < own.granted) {
        own.granted = target;
    }
    else if (target > own.granted + step) {
        const std::uint32_t missing = target - own.granted;
        own.granted += std::min(missing, available_share(shares, now));
    }
    return own.granted;
}

void share_allocator::release(std::string_view instance)
{
    for (auto& [organisation, shares] : organisations_) {
        const auto found = shares.allocations.find(instance);
        if (found != shares.allocations.end()) {
            shares.allocations.erase(found);
        }
    }
    for (auto* const times : {&last_confirmed_at_, &last_renewed_at_}) {
        const auto found = times->find(instance);
        if (found != times->end()) {
            times->erase(found);
        }
    }
}

void share_allocator::expire(clock::time_point now)
{
    std::vector<std::string> expired;
    for (const auto& [instance, renewed_at] : last_renewed_at_) {
        if (now - renewed_at > lease_) {
            expired.push_back(instance);
        }
    }
    for (const std::string& instance : expired) {
        release(instance);
    }
}

} // namespace primrosehead::cell
