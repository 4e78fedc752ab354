#include "entry_allowances.h"

#include "primrosehead.pb.h"

#include <primrosehead/environment.h>

namespace primrosehead {

namespace {

limits::contract terms_of(const organisation_settings& organisation, const policy_settings& policy,
                          std::uint32_t instances)
{
    limits::contract terms;
    terms.rate = organisation.rate;
    terms.burst = organisation.burst;
    terms.floor_share = policy.limits == limit_policy::static_split ? 1.0 : policy.floor_share;
    terms.instances = instances;
    return terms;
}

} // namespace

void entry_allowances::change(const environment& document, std::uint32_t instances,
                              clock::time_point now)
{
    const std::unique_lock lock(guard_);
    std::erase_if(accounts_, [&](const auto& known) { return !document.find(known.first); });
    for (const organisation_settings& organisation : document.organisations) {
        const limits::contract terms = terms_of(organisation, document.policies, instances);
        const auto found = accounts_.find(organisation.name);
        if (found == accounts_.end()) {
            accounts_.emplace(organisation.name, std::make_unique<account>(terms, now));
        }
        else {
            found->second->tokens.set_contract(terms, now);
        }
    }
}

entry_allowances::admission entry_allowances::take(const organisation_name& organisation,
                                                   bool waited, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        return {.admitted = true};
    }
    account& own = *found->second;
    const std::lock_guard account_lock(own.guard);
    admission outcome;
    outcome.admitted = waited ? own.tokens.take_on_retry(now) : own.tokens.take(now);
    outcome.is_low = own.tokens.is_low(now);
    outcome.is_exhausted = own.tokens.is_exhausted(now);
    if (!outcome.admitted) {
        outcome.retry_after = own.tokens.retry_after(now);
    }
    return outcome;
}

void entry_allowances::report(pb::heartbeat& into, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    for (const auto& [organisation, own] : accounts_) {
        const std::lock_guard account_lock(own->guard);
        if (!own->tokens.is_report_due(now)) {
            continue;
        }
        pb::allowance_report& report = *into.add_allowances();
        report.set_organisation(organisation.text());
        own->tokens.fill_report(report, now);
    }
}

void entry_allowances::granted(const pb::heartbeat_reply& reply, clock::time_point now)
{
    const std::shared_lock lock(guard_);
    for (const pb::allowance_grant& grant : reply.grants()) {
        const auto found = accounts_.find(organisation_name(grant.organisation()));
        if (found != accounts_.end()) {
            const std::lock_guard account_lock(found->second->guard);
            found->second->tokens.add_grant(grant.amount(), clock::duration(grant.valid_ms()),
                                            from_ms(reply.asked_at_ms()), now);
        }
    }
}

} // namespace primrosehead
