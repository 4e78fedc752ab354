#include "scenario_entry.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr clock::duration heartbeat_period{100};
constexpr clock::duration shortest_pause{4};
constexpr clock::duration leader_patience{250};

} // namespace

entry::entry(entry_options options, clock::time_point now)
    : options_(std::move(options)), last_answer_(now), view_(cell_name(options_.cell))
{
}

void entry::restart(clock::time_point now)
{
    const std::uint64_t next_incarnation = incarnation_ + 1;
    *this = entry(options_, now);
    incarnation_ = next_incarnation;
}

std::optional<pb::heartbeat> entry::next_heartbeat(clock::time_point now)
{
    const bool is_low = std::ranges::any_of(
        allowances_, [now](const auto& item) { return item.second.is_low(now); });
    const clock::duration pause = confirm_soon_ || is_low ? shortest_pause : heartbeat_period;
    if (now - last_sent_ < pause) {
        return std::nullopt;
    }
    pb::heartbeat beat;
    beat.set_instance(options_.name);
    beat.set_incarnation(incarnation_);
    beat.set_sequence(++sequence_);
    beat.set_answered_sequence(answered_);
    beat.set_asked_at_ms(to_ms(now));
    beat.set_state_version(view_.requested_version());
    beat.set_state_digest(view_.digest());
    beat.mutable_self()->set_failure_domain(options_.failure_domain);
    beat.mutable_self()->set_endpoint(options_.name);
    beat.mutable_self()->set_http_url(options_.name);
    for (auto& [name, server] : servers_) {
        if (server.heard_at >= last_sent_) {
            pb::server_report& report = *beat.add_servers();
            report = server.report;
            report.set_age_ms(static_cast<std::uint64_t>((now - server.heard_at).count()));
        }
    }
    for (auto& [organisation, tokens] : allowances_) {
        if (tokens.is_report_due(now)) {
            pb::allowance_report& report = *beat.add_allowances();
            report.set_organisation(organisation);
            tokens.fill_report(report, now);
        }
    }
    last_sent_ = now;
    confirm_soon_ = false;
    return beat;
}

std::size_t entry::control_choice(clock::time_point now, std::size_t controls)
{
    if (now - last_answer_ > leader_patience) {
        control_choice_ = (control_choice_ + 1) % controls;
        last_answer_ = now;
    }
    return control_choice_;
}

void entry::answered(const pb::heartbeat_reply& reply, clock::time_point now)
{
    const bool is_late = reply.sequence() != 0 && reply.sequence() <= answered_;
    if (!reply.is_leader() || is_late) {
        return;
    }
    last_answer_ = now;
    const std::uint64_t version = view_.version();
    const bool has_followed =
        !reply.has_delta() || view_.apply(reply.delta()) != delta_outcome::mismatch;
    if (view_.version() != version) {
        confirm_soon_ = true;
        follow_environment(now);
    }
    if (reply.sequence() == 0 || !has_followed) {
        return;
    }
    answered_ = reply.sequence();
    const clock::time_point asked_at = from_ms(reply.asked_at_ms());
    keys_confirmed_ = std::max(keys_confirmed_, asked_at);
    if (reply.lease_ms() > 0) {
        lease_.renew(options_.on.lease_from_asking ? asked_at : now,
                       clock::duration(reply.lease_ms()));
    }
    for (const pb::allowance_grant& grant : reply.grants()) {
        const auto found = allowances_.find(grant.organisation());
        if (found != allowances_.end()) {
            found->second.add_grant(grant.amount(), clock::duration(grant.valid_ms()), asked_at,
                                    now);
        }
    }
}

void entry::announced(const pb::server_report& report, clock::time_point now)
{
    servers_[report.server()] = {report, now};
}

limits::contract entry::contract_of(const organisation_settings& organisation) const
{
    limits::contract terms;
    terms.rate = organisation.rate;
    terms.burst = organisation.burst;
    terms.floor_share = wanted_.policies.floor_share;
    const auto serves = [](const pb::instance_record* one) { return !one->http_url().empty(); };
    const auto instances = std::ranges::count_if(view_.instances(), serves);
    terms.instances = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(instances, 1));
    if (!options_.on.share_limits) {
        terms.floor_share = 1;
        terms.instances = 1;
    }
    return terms;
}

void entry::follow_environment(clock::time_point now)
{
    const pb::environment_record* record = view_.environment(options_.environment);
    if (record == nullptr || record->production_document().empty()) {
        return;
    }
    wanted_ = value(parse_environment(record->production_document()));
    for (const organisation_settings& organisation : wanted_.organisations) {
        const limits::contract terms = contract_of(organisation);
        const auto made = allowances_.try_emplace(organisation.name.text(), terms, now);
        if (!made.second) {
            made.first->second.set_contract(terms, now);
        }
    }
}

const pb::group_record* entry::writable_group(std::string_view database,
                                              clock::time_point now) const
{
    const pb::group_record* group = view_.group(database);
    const bool has_primary = group != nullptr && !group->primary().empty();
    const bool has_lease = lease_.is_valid(now) || !options_.on.hold_lease;
    return has_primary && has_lease ? group : nullptr;
}

bool entry::may_acknowledge(std::string_view database, std::uint64_t term,
                            clock::time_point now) const
{
    if (!options_.on.hold_lease) {
        return true;
    }
    const pb::group_record* group = view_.group(database);
    return lease_.is_valid(now) && group != nullptr && group->term() == term &&
           !group->primary().empty();
}

entry::admission entry::admit(std::string_view key, const std::string& organisation,
                              clock::time_point now)
{
    const pb::key_record* record = view_.key(key);
    const bool is_valid = record != nullptr && !record->withdrawn();
    const bool is_confirmed = now - keys_confirmed_ <= wanted_.policies.key_bound;
    if (!is_valid || (!is_confirmed && options_.on.confirm_keys)) {
        return admission::key_refused;
    }
    const auto found = allowances_.find(organisation);
    if (found == allowances_.end() || !found->second.take(now)) {
        return admission::rate_limited;
    }
    return admission::admitted;
}

} // namespace primrosehead::scenario
