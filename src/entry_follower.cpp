#include "entry_follower.h"

#include "entry_allowances.h"
#include "primrosehead.pb.h"

#include <primrosehead/gateway.h>

#include <spdlog/spdlog.h>

namespace primrosehead {

namespace {

constexpr clock::duration heartbeat_period{100};
constexpr clock::duration shortest_pause{4}; // between heartbeats that were asked for
constexpr clock::duration leader_patience{250};
constexpr clock::duration report_overlap{50};
constexpr clock::duration server_silence{10'000};

} // namespace

entry_follower::entry_follower(const entry_settings& settings, std::uint64_t incarnation,
                               bus& messages, gateway& servers, entry_allowances& allowances)
    : settings_(settings), incarnation_(incarnation), messages_(messages), servers_(servers),
      allowances_(allowances), state_(settings.cell), view_(std::make_unique<entry_view>())
{
}

void entry_follower::tick(clock::time_point now)
{
    if (leader_.empty() || now - last_answer_ > leader_patience) {
        choose_other_leader();
        last_answer_ = now;
    }
    if (until_due(now) == clock::duration::zero()) {
        send_heartbeat(now);
    }
}

clock::duration entry_follower::until_due(clock::time_point now) const noexcept
{
    const bool asked = confirm_ || asked_soon_.load();
    const clock::duration pause = asked ? shortest_pause : heartbeat_period;
    return std::max(clock::duration::zero(), last_sent_ + pause - now);
}

void entry_follower::choose_other_leader()
{
    leader_ = settings_.control[next_control_ % settings_.control.size()].endpoint;
    ++next_control_;
}

void entry_follower::describe_self(pb::instance_record& into) const
{
    into.set_instance(settings_.instance.text());
    into.set_failure_domain(settings_.failure_domain.text());
    into.set_endpoint(settings_.bus_endpoint);
    into.set_http_url("http://" + settings_.listen);
    into.set_leaving(leaving_.load());
}

void entry_follower::send_heartbeat(clock::time_point now)
{
    asked_soon_.store(false);
    confirm_ = false;
    last_sent_ = now;
    pb::envelope message;
    message.set_cell(settings_.cell.text());
    message.set_from(settings_.instance.text());
    pb::heartbeat& beat = *message.mutable_beat();
    beat.set_instance(settings_.instance.text());
    beat.set_incarnation(incarnation_);
    beat.set_sequence(sequence_.fetch_add(1) + 1);
    beat.set_answered_sequence(answered_.load());
    beat.set_asked_at_ms(to_ms(now));
    beat.set_state_version(state_.requested_version());
    beat.set_state_digest(state_.digest());
    describe_self(*beat.mutable_self());
    for (pb::server_report& report :
         servers_.recent_announcements(last_report_ - report_overlap, now)) {
        *beat.add_servers() = std::move(report);
    }
    last_report_ = now;
    allowances_.report(beat, now);
    messages_.send(leader_, message);
}

void entry_follower::receive(const pb::envelope& message, clock::time_point now)
{
    const pb::heartbeat_reply& reply = message.beat_reply();
    if (message.cell() != settings_.cell.text() || reply.control_term() < control_term_) {
        return;
    }
    if (!reply.is_leader()) {
        follow_hint(reply.leader_hint());
        return;
    }
    control_term_ = reply.control_term();
    last_answer_ = now;
    const bool is_up_to_date = take_state(reply, now);
    if (reply.sequence() == 0) {
        return;
    }
    take_directory(reply, now);
    allowances_.granted(reply, now);
    heard_at_ms_.store(to_ms(now));
    answered_.store(std::max(answered_.load(), reply.sequence()));
    if (state_.version() == 0) {
        return;
    }
    lease_holder lease;
    lease.renew(from_ms(reply.asked_at_ms()), clock::duration(reply.lease_ms()));
    const std::int64_t until = to_ms(lease.expires_at());
    lease_until_ms_.store(std::max(lease_until_ms_.load(), until));
    if (is_up_to_date) {
        confirmed_at_ms_.store(std::max(confirmed_at_ms_.load(), reply.asked_at_ms()));
    }
}

void entry_follower::follow_hint(const std::string& endpoint)
{
    if (!endpoint.empty() && endpoint != leader_) {
        spdlog::debug("entry: Following the control leader at {}.", endpoint);
        leader_ = endpoint;
        ask_soon();
    }
}

// True when the state here is the leader's at the time of its answer: a key withdrawn before is
// gone.
bool entry_follower::take_state(const pb::heartbeat_reply& reply, clock::time_point now)
{
    if (!reply.has_delta()) {
        return true;
    }
    const delta_outcome outcome = state_.apply(reply.delta());
    if (outcome == delta_outcome::advanced) {
        publish(now);
        confirm_ = true;
    }
    else if (outcome != delta_outcome::confirmed) {
        spdlog::info("entry: A state delta to version {} was not taken: {}.",
                     reply.delta().to_version(), to_string(outcome));
    }
    return outcome == delta_outcome::advanced || outcome == delta_outcome::confirmed;
}

// The new view is in force before the leader hears that it was taken in.
void entry_follower::publish(clock::time_point now)
{
    std::unique_ptr<entry_view> next = entry_view::make(state_, settings_.environment);
    const environment* const document = next->document(stage::production);
    if (document != nullptr) {
        allowances_.change(*document, next->entry_instances(), now);
        ready_.store(true);
    }
    view_.publish(std::move(next));
    version_.store(state_.version());
    spdlog::info("entry: State version {} is in force.", state_.version());
}

void entry_follower::take_directory(const pb::heartbeat_reply& reply, clock::time_point now)
{
    for (const pb::server_report& report : reply.servers()) {
        servers_.apply_report(report, now);
    }
    servers_.remove_stale_servers(server_silence, now);
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

void entry_follower::ask_soon()
{
    if (!asked_soon_.exchange(true)) {
        messages_.wake();
    }
}

bool entry_follower::hears_leader(clock::time_point now) const noexcept
{
    return to_ms(now) - heard_at_ms_.load() <= leader_patience.count();
}

bool entry_follower::holds_lease(clock::time_point now) const noexcept
{
    return to_ms(now) < lease_until_ms_.load();
}

clock::duration entry_follower::keys_age(clock::time_point now) const noexcept
{
    return clock::duration(to_ms(now) - confirmed_at_ms_.load());
}

} // namespace primrosehead
