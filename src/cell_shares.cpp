#include "cell_shares.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

constexpr double smoothing = 0.2;      // of a new report: follows a shift of callers in a second
constexpr double even_part = 0.25;     // split evenly: first operations of an instance need some
constexpr double worthwhile = 0.05;    // smaller changes than this part of the share wait
constexpr double least_demand = 0.001; // operations a second; below it shares are even
constexpr double idle_demand = 0.02;   // operations a second; below it an instance needs no share

} // namespace

shares::shares(clock::time_point elected_at, clock::duration lease)
    : elected_at_(elected_at), lease_(lease)
{
}

std::uint32_t shares::wanted(const account& of, const holding& own) const
{
    double total = 0;
    for (const auto& [instance, held] : of.holdings) {
        total += held.demand;
    }
    if (total >= least_demand && own.demand < idle_demand) {
        return 0;
    }
    const double even = 1.0 / static_cast<double>(of.holdings.size());
    const double by_demand = total < least_demand ? even : own.demand / total;
    return static_cast<std::uint32_t>(whole_share *
                                      (even_part * even + (1 - even_part) * by_demand));
}

std::uint32_t shares::free_in(const account& of, clock::time_point now) const
{
    const bool all_heard =
        std::all_of(expected_.begin(), expected_.end(),
                    [this](const std::string& instance) { return heard_.contains(instance); });
    if (now - elected_at_ < lease_ && !all_heard) {
        return 0;
    }
    std::uint64_t used = 0;
    for (const auto& [instance, held] : of.holdings) {
        used += std::max(held.in_use, held.granted);
    }
    return used >= whole_share ? 0 : whole_share - static_cast<std::uint32_t>(used);
}

std::uint32_t shares::report(std::string_view organisation, std::string_view instance,
                             std::uint64_t incarnation, std::uint32_t held, double demand,
                             clock::time_point now)
{
    heard_.emplace(instance);
    auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        found = accounts_.emplace(std::string(organisation), account{}).first;
    }
    account& own_account = found->second;
    auto place = own_account.holdings.find(instance);
    const bool is_new = place == own_account.holdings.end();
    if (is_new) {
        place = own_account.holdings.emplace(std::string(instance), holding{}).first;
    }
    holding& own = place->second;
    if (is_new || own.incarnation != incarnation) {
        own = holding{incarnation, held, held, demand, now};
    }
    own.demand += smoothing * (demand - own.demand);
    own.heard_at = now;
    // A report tells what is in use by now: the last grant, or a grant before it.
    own.in_use = held;
    const std::uint32_t target = wanted(own_account, own);
    const auto step = static_cast<std::uint32_t>(worthwhile * std::max(target, own.granted));
    if (target + step < own.granted) {
        own.granted = target;
    }
    else if (target > own.granted + step) {
        const std::uint32_t missing = target - own.granted;
        own.granted += std::min(missing, free_in(own_account, now));
    }
    return own.granted;
}

void shares::forget(std::string_view instance)
{
    for (auto& [organisation, of] : accounts_) {
        const auto found = of.holdings.find(instance);
        if (found != of.holdings.end()) {
            of.holdings.erase(found);
        }
    }
}

void shares::expire(clock::time_point now)
{
    for (auto& [organisation, of] : accounts_) {
        std::erase_if(of.holdings,
                      [&](const auto& item) { return now - item.second.heard_at > lease_; });
    }
}

} // namespace primrosehead::cell
