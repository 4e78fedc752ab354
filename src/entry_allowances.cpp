#include "entry_allowances.h"

#include "primrosehead.pb.h"

#include <primrosehead/environment.h>

namespace primrosehead {

namespace {

limits::contract contract_of(const organisation_settings& organisation,
                             const policy_settings& policy, std::uint32_t instances)
{
    limits::contract contract_terms;
    contract_terms.rate = organisation.rate;
    contract_terms.burst = organisation.burst;
    contract_terms.floor_share =
        policy.limits == limit_policy::static_split ? 1.0 : policy.floor_share;
    contract_terms.instances = instances;
    return contract_terms;
}

} // namespace

void entry_allowances::update_contracts(const environment& document, std::uint32_t instances,
                                        clock::time_point now)
{
    const std::unique_lock lock(guard_);
    std::erase_if(allowances_, [&](const auto& entry) { return !document.find(entry.first); });
    for (const organisation_settings& organisation : document.organisations) {
        const limits::contract contract_terms =
            contract_of(organisation, document.policies, instances);
        const auto found = allowances_.find(organisation.name);
        if (found == allowances_.end()) {
            allowances_.emplace(organisation.name,
                                std::make_unique<guarded_allowance>(contract_terms, now));
        }
        else {
            found->second->tokens.set_contract(contract_terms, now);
        }
    }
}

entry_allowances::admission entry_allowances::take(const organisation_name& organisation,
                                                   bool is_retry, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    const auto found = allowances_.find(organisation);
    if (found == allowances_.end()) {
        return {.admitted = true};
    }
    guarded_allowance& allowance = *found->second;
    const std::lock_guard allowance_lock(allowance.guard);
    admission outcome;
    outcome.admitted = is_retry ? allowance.tokens.take_on_retry(now) : allowance.tokens.take(now);
    outcome.is_low = allowance.tokens.is_low(now);
    outcome.is_exhausted = allowance.tokens.is_exhausted(now);
    if (!outcome.admitted) {
        outcome.retry_after = allowance.tokens.retry_after(now);
    }
    return outcome;
}

void entry_allowances::add_reports(pb::heartbeat& message, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    for (const auto& [organisation, allowance] : allowances_) {
        const std::lock_guard allowance_lock(allowance->guard);
        if (!allowance->tokens.is_report_due(now)) {
            continue;
        }
        pb::allowance_report& report = *message.add_allowances();
        report.set_organisation(organisation.text());
        allowance->tokens.fill_report(report, now);
    }
}

void entry_allowances::apply_grants(const pb::heartbeat_reply& reply, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    for (const pb::allowance_grant& grant : reply.grants()) {
        const auto found = allowances_.find(organisation_name(grant.organisation()));
        if (found != allowances_.end()) {
            const std::lock_guard allowance_lock(found->second->guard);
            found->second->tokens.add_grant(grant.amount(), clock::duration(grant.valid_ms()),
                                            from_ms(reply.asked_at_ms()), now);
        }
    }
}

} // namespace primrosehead
