#include "scenario_entry.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr clock::duration heartbeat_interval{100};
constexpr clock::duration min_heartbeat_interval{4};
constexpr clock::duration leader_timeout{250};

} // namespace

entry::entry(entry_options options, clock::time_point now)
    : options_(std::move(options)), last_reply_at_(now), view_(cell_name(options_.cell))
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
    const clock::duration interval =
        is_confirmation_due_ || is_low ? min_heartbeat_interval : heartbeat_interval;
    if (now - last_sent_at_ < interval) {
        return std::nullopt;
    }
    pb::heartbeat heartbeat;
    heartbeat.set_instance(options_.name);
    heartbeat.set_incarnation(incarnation_);
    heartbeat.set_sequence(++sequence_);
    heartbeat.set_answered_sequence(answered_sequence_);
    heartbeat.set_asked_at_ms(to_ms(now));
    heartbeat.set_state_version(view_.requested_version());
    heartbeat.set_state_digest(view_.digest());
    heartbeat.mutable_self()->set_failure_domain(options_.failure_domain);
    heartbeat.mutable_self()->set_endpoint(options_.name);
    heartbeat.mutable_self()->set_http_url(options_.name);
    for (auto& [name, server] : servers_) {
        if (server.received_at >= last_sent_at_) {
            pb::server_report& report = *heartbeat.add_servers();
            report = server.report;
            report.set_age_ms(static_cast<std::uint64_t>((now - server.received_at).count()));
        }
    }
    for (auto& [organisation, tokens] : allowances_) {
        if (tokens.is_report_due(now)) {
            pb::allowance_report& report = *heartbeat.add_allowances();
            report.set_organisation(organisation);
            tokens.fill_report(report, now);
        }
    }
    last_sent_at_ = now;
    is_confirmation_due_ = false;
    return heartbeat;
}

std::size_t entry::choose_control(clock::time_point now, std::size_t control_count)
{
    if (now - last_reply_at_ > leader_timeout) {
        control_index_ = (control_index_ + 1) % control_count;
        last_reply_at_ = now;
    }
    return control_index_;
}

void entry::on_heartbeat_reply(const pb::heartbeat_reply& reply, clock::time_point now)
{
    const bool is_outdated = reply.sequence() != 0 && reply.sequence() <= answered_sequence_;
    if (!reply.is_leader() || is_outdated) {
        return;
    }
    last_reply_at_ = now;
    const std::uint64_t version = view_.version();
    const bool is_state_current =
        !reply.has_delta() || view_.apply(reply.delta()) != delta_outcome::mismatch;
    if (view_.version() != version) {
        is_confirmation_due_ = true;
        apply_environment(now);
    }
    if (reply.sequence() == 0 || !is_state_current) {
        return;
    }
    answered_sequence_ = reply.sequence();
    const clock::time_point requested_at = from_ms(reply.asked_at_ms());
    keys_confirmed_at_ = std::max(keys_confirmed_at_, requested_at);
    if (reply.lease_ms() > 0) {
        lease_.renew(options_.safeguards.lease_from_request_time ? requested_at : now,
                     clock::duration(reply.lease_ms()));
    }
    for (const pb::allowance_grant& grant : reply.grants()) {
        const auto found = allowances_.find(grant.organisation());
        if (found != allowances_.end()) {
            found->second.add_grant(grant.amount(), clock::duration(grant.valid_ms()), requested_at,
                                    now);
        }
    }
}

void entry::on_server_report(const pb::server_report& report, clock::time_point now)
{
    servers_[report.server()] = {report, now};
}

limits::contract entry::make_contract(const organisation_settings& organisation) const
{
    limits::contract terms;
    terms.rate = organisation.rate;
    terms.burst = organisation.burst;
    terms.floor_share = environment_.policies.floor_share;
    const auto serves = [](const pb::instance_record* instance) {
        return !instance->http_url().empty();
    };
    const auto instances = std::ranges::count_if(view_.instances(), serves);
    terms.instances = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(instances, 1));
    if (!options_.safeguards.share_limits) {
        terms.floor_share = 1;
        terms.instances = 1;
    }
    return terms;
}

void entry::apply_environment(clock::time_point now)
{
    const pb::environment_record* record = view_.environment(options_.environment);
    if (record == nullptr || record->production_document().empty()) {
        return;
    }
    environment_ = value(parse_environment(record->production_document()));
    for (const organisation_settings& organisation : environment_.organisations) {
        const limits::contract terms = make_contract(organisation);
        const auto inserted = allowances_.try_emplace(organisation.name.text(), terms, now);
        if (!inserted.second) {
            inserted.first->second.set_contract(terms, now);
        }
    }
}

const pb::group_record* entry::writable_group(std::string_view database,
                                              clock::time_point now) const
{
    const pb::group_record* group = view_.group(database);
    const bool has_primary = group != nullptr && !group->primary().empty();
    const bool has_lease = lease_.is_valid(now) || !options_.safeguards.require_lease;
    return has_primary && has_lease ? group : nullptr;
}

bool entry::may_acknowledge(std::string_view database, std::uint64_t term,
                            clock::time_point now) const
{
    if (!options_.safeguards.require_lease) {
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
    const bool is_confirmed = now - keys_confirmed_at_ <= environment_.policies.key_bound;
    if (!is_valid || (!is_confirmed && options_.safeguards.require_key_confirmation)) {
        return admission::key_refused;
    }
    const auto found = allowances_.find(organisation);
    if (found == allowances_.end() || !found->second.take(now)) {
        return admission::rate_limited;
    }
    return admission::admitted;
}

} // namespace primrosehead::scenario
