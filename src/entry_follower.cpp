#include "entry_follower.h"

#include "entry_allowances.h"
#include "primrosehead.pb.h"

#include <primrosehead/gateway.h>

#include <spdlog/spdlog.h>

namespace primrosehead {

namespace {

constexpr clock::duration heartbeat_interval{100};
constexpr clock::duration min_heartbeat_interval{4}; // between heartbeats requested early
constexpr clock::duration leader_timeout{250};
constexpr clock::duration report_overlap{50};
constexpr clock::duration server_timeout{10'000};

} // namespace

entry_follower::entry_follower(const entry_settings& settings, std::uint64_t incarnation,
                               bus& messages, gateway& servers, entry_allowances& allowances)
    : settings_(settings), incarnation_(incarnation), messages_(messages), servers_(servers),
      allowances_(allowances), state_(settings.cell), view_(std::make_unique<entry_view>())
{
}

void entry_follower::tick(clock::time_point now)
{
    if (leader_endpoint_.empty() || now - last_leader_reply_ > leader_timeout) {
        try_next_leader();
        last_leader_reply_ = now;
    }
    if (time_until_due(now) == clock::duration::zero()) {
        send_heartbeat(now);
    }
}

clock::duration entry_follower::time_until_due(clock::time_point now) const noexcept
{
    const bool is_requested = state_ack_pending_ || heartbeat_requested_.load();
    const clock::duration interval = is_requested ? min_heartbeat_interval : heartbeat_interval;
    return std::max(clock::duration::zero(), last_heartbeat_ + interval - now);
}

void entry_follower::try_next_leader()
{
    leader_endpoint_ = settings_.control[next_control_index_ % settings_.control.size()].endpoint;
    ++next_control_index_;
}

void entry_follower::fill_self_record(pb::instance_record& record) const
{
    record.set_instance(settings_.instance.text());
    record.set_failure_domain(settings_.failure_domain.text());
    record.set_endpoint(settings_.bus_endpoint);
    record.set_http_url("http://" + settings_.listen);
    record.set_leaving(leaving_.load());
}

void entry_follower::send_heartbeat(clock::time_point now)
{
    heartbeat_requested_.store(false);
    state_ack_pending_ = false;
    last_heartbeat_ = now;
    pb::envelope message;
    message.set_cell(settings_.cell.text());
    message.set_from(settings_.instance.text());
    pb::heartbeat& heartbeat = *message.mutable_beat();
    heartbeat.set_instance(settings_.instance.text());
    heartbeat.set_incarnation(incarnation_);
    heartbeat.set_sequence(sequence_.fetch_add(1) + 1);
    heartbeat.set_answered_sequence(answered_sequence_.load());
    heartbeat.set_asked_at_ms(to_ms(now));
    heartbeat.set_state_version(state_.requested_version());
    heartbeat.set_state_digest(state_.digest());
    fill_self_record(*heartbeat.mutable_self());
    for (pb::server_report& report :
         servers_.recent_announcements(last_report_ - report_overlap, now)) {
        *heartbeat.add_servers() = std::move(report);
    }
    last_report_ = now;
    allowances_.add_reports(heartbeat, now);
    messages_.send(leader_endpoint_, message);
}

void entry_follower::receive(const pb::envelope& message, clock::time_point now)
{
    const pb::heartbeat_reply& reply = message.beat_reply();
    if (message.cell() != settings_.cell.text() || reply.control_term() < control_term_) {
        return;
    }
    if (!reply.is_leader()) {
        follow_leader_hint(reply.leader_hint());
        return;
    }
    control_term_ = reply.control_term();
    last_leader_reply_ = now;
    const bool is_up_to_date = apply_state_delta(reply, now);
    if (reply.sequence() == 0) {
        return;
    }
    apply_directory(reply, now);
    allowances_.apply_grants(reply, now);
    last_reply_at_ms_.store(to_ms(now));
    answered_sequence_.store(std::max(answered_sequence_.load(), reply.sequence()));
    if (state_.version() == 0) {
        return;
    }
    lease_holder lease;
    lease.renew(from_ms(reply.asked_at_ms()), clock::duration(reply.lease_ms()));
    const std::int64_t expires_at_ms = to_ms(lease.expires_at());
    lease_expires_at_ms_.store(std::max(lease_expires_at_ms_.load(), expires_at_ms));
    if (is_up_to_date) {
        keys_confirmed_at_ms_.store(std::max(keys_confirmed_at_ms_.load(), reply.asked_at_ms()));
    }
}

void entry_follower::follow_leader_hint(const std::string& endpoint)
{
    if (!endpoint.empty() && endpoint != leader_endpoint_) {
        spdlog::debug("entry: Switching to control leader at {}.", endpoint);
        leader_endpoint_ = endpoint;
        request_heartbeat();
    }
}

// Returns true if the local state matches the leader's at the time of its reply, so that keys
// withdrawn before it are no longer accepted.
bool entry_follower::apply_state_delta(const pb::heartbeat_reply& reply, clock::time_point now)
{
    if (!reply.has_delta()) {
        return true;
    }
    const delta_outcome outcome = state_.apply(reply.delta());
    if (outcome == delta_outcome::advanced) {
        publish(now);
        state_ack_pending_ = true;
    }
    else if (outcome != delta_outcome::confirmed) {
        spdlog::info("entry: State delta to version {} was not applied: {}.",
                     reply.delta().to_version(), to_string(outcome));
    }
    return outcome == delta_outcome::advanced || outcome == delta_outcome::confirmed;
}

// Publishes the new view. Runs before the new state version is acknowledged to the leader.
void entry_follower::publish(clock::time_point now)
{
    std::unique_ptr<entry_view> next = entry_view::make(state_, settings_.environment);
    const environment* const document = next->document(stage::production);
    if (document != nullptr) {
        allowances_.update_contracts(*document, next->entry_instance_count(), now);
        ready_.store(true);
    }
    view_.publish(std::move(next));
    version_.store(state_.version());
    spdlog::info("entry: Applied state version {}.", state_.version());
}

void entry_follower::apply_directory(const pb::heartbeat_reply& reply, clock::time_point now)
{
    for (const pb::server_report& report : reply.servers()) {
        servers_.apply_report(report, now);
    }
    servers_.remove_stale_servers(server_timeout, now);
    std::vector<instance_address> live;
    for (const std::string& name : reply.live_instances()) {
        const pb::instance_record* const record = state_.instance(name);
        if (record != nullptr && !record->http_url().empty()) {
            live.push_back({instance_name(record->instance()),
                            failure_domain_name(record->failure_domain()), record->endpoint()});
        }
    }
    if (!live.empty()) {
        servers_.set_instances(live);
    }
}

void entry_follower::request_heartbeat()
{
    if (!heartbeat_requested_.exchange(true)) {
        messages_.wake();
    }
}

bool entry_follower::is_leader_responsive(clock::time_point now) const noexcept
{
    return to_ms(now) - last_reply_at_ms_.load() <= leader_timeout.count();
}

bool entry_follower::has_lease(clock::time_point now) const noexcept
{
    return to_ms(now) < lease_expires_at_ms_.load();
}

clock::duration entry_follower::key_table_age(clock::time_point now) const noexcept
{
    return clock::duration(to_ms(now) - keys_confirmed_at_ms_.load());
}

} // namespace primrosehead
