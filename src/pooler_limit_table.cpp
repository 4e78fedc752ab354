#include "pooler_limit_table.h"

#include "cell_token_buckets.h"
#include "primrosehead.pb.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

constexpr double ppm_of_one = 1e6;

} // namespace

void limit_table::apply(const document& current, limit_division division, clock::time_point now)
{
    std::erase_if(limiters_,
                  [&](const auto& item) { return current.organisation(item.first) == nullptr; });
    const distributed_fractions distributed{1 - division.central_ppm / ppm_of_one,
                                            1 - cell::central_burst_fraction(division.central_ppm)};
    for (const document_organisation& organisation : current.content().organisations) {
        limiters_.try_emplace(organisation.name, now)
            .first->second.set_limits(organisation.rate, organisation.burst, distributed,
                                      division.tolerance);
    }
}

limiter* limit_table::find(std::string_view organisation)
{
    const auto found = limiters_.find(organisation);
    return found == limiters_.end() ? nullptr : &found->second;
}

void limit_table::set_isolated(bool is_isolated, clock::time_point now)
{
    for (auto& [organisation, limits] : limiters_) {
        limits.set_isolated(is_isolated, now);
    }
}

bool limit_table::needs_share() const
{
    return std::any_of(limiters_.begin(), limiters_.end(),
                       [](const auto& item) { return item.second.needs_share(); });
}

void limit_table::report_shares(pb::follow_request& request, share_report_scope scope,
                                bool is_leaving, clock::time_point now)
{
    request.set_tells_shares(true);
    for (auto& [organisation, limits] : limiters_) {
        const double demand = is_leaving ? 0 : limits.demand(now);
        const bool is_active = limits.share() > 0 || (!is_leaving && limits.needs_share());
        if (scope == share_report_scope::active && !is_active) {
            continue;
        }
        pb::share_report& report = *request.add_shares();
        report.set_organisation(organisation);
        report.set_share_ppm(limits.share());
        report.set_demand_per_s(demand);
    }
}

void limit_table::apply_shares(const pb::follow_reply& reply, clock::time_point now)
{
    for (const pb::share_grant& grant : reply.shares()) {
        if (limiter* const limits = find(grant.organisation())) {
            limits->set_share(grant.share_ppm(), now);
        }
    }
}

void limit_table::drop_shares(clock::time_point now)
{
    for (auto& [organisation, limits] : limiters_) {
        limits.drop_share(now);
    }
}

void limit_table::request_missing(pb::token_request& request, clock::time_point now)
{
    for (auto& [organisation, limits] : limiters_) {
        const std::uint32_t missing = limits.missing_tokens(now);
        if (missing > 0) {
            pb::token_amount& amount = *request.add_wanted();
            amount.set_organisation(organisation);
            amount.set_tokens(missing);
        }
    }
}

} // namespace primrosehead::pooler
