#include "cell_evacuations.h"

#include "state_records.h"

#include <fmt/format.h>

#include <algorithm>

namespace primrosehead::cell {

namespace {

// The time in which a pending order is usually committed or lost.
constexpr clock::duration pending_retry_after{200};

bool leaves_a_domain(const domain_set& known, const domain_set& evacuated)
{
    return std::any_of(known.begin(), known.end(),
                       [&](const std::string& domain) { return !evacuated.contains(domain); });
}

error last_domain_error(const std::string& domain)
{
    return error{error_kind::bad_request,
                 fmt::format("Without failure domain {} every domain would be evacuated.", domain),
                 "Withdraw the evacuation of another failure domain first."};
}

} // namespace

domain_set evacuated_domains(const state_machine& state)
{
    domain_set domains;
    for (const pb::state_record* record : state.records().with_prefix(evacuation_prefix)) {
        domains.insert(record->evacuation().failure_domain());
    }
    return domains;
}

std::uint64_t evacuation_version(const state_machine& state)
{
    return state.records().latest_change(evacuation_prefix);
}

std::optional<error> evacuation_orders::check(const pb::set_evacuation& order,
                                              const domain_set& known,
                                              const state_machine& state) const
{
    domain_set evacuated = evacuated_domains(state);
    // A domain that was removed from the settings can still be released.
    const bool is_release = order.withdrawn() && evacuated.contains(order.failure_domain());
    if (!known.contains(order.failure_domain()) && !is_release) {
        return error{error_kind::bad_request, "There is no failure domain with this name.",
                     "Use a failure domain of the setting regions."};
    }
    if (order.withdrawn()) {
        return std::nullopt;
    }
    evacuated.insert(order.failure_domain());
    if (!leaves_a_domain(known, evacuated)) {
        return last_domain_error(order.failure_domain());
    }
    for (const auto& [domain, count] : pending_) {
        evacuated.insert(domain);
    }
    if (!leaves_a_domain(known, evacuated)) {
        return error{error_kind::no_quorum,
                     "Another evacuation that may leave no failure domain is in progress.",
                     "Retry the order.", ran::no, pending_retry_after};
    }
    return std::nullopt;
}

void evacuation_orders::begin(const pb::set_evacuation& order)
{
    if (!order.withdrawn()) {
        ++pending_[order.failure_domain()];
    }
}

void evacuation_orders::finish(const pb::set_evacuation& order)
{
    const auto found = pending_.find(order.failure_domain());
    if (!order.withdrawn() && found != pending_.end() && --found->second == 0) {
        pending_.erase(found);
    }
}

} // namespace primrosehead::cell
