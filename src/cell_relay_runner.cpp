#include "cell_relay_runner.h"

#include "incarnation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace primrosehead::cell {

namespace net = boost::asio;

namespace {

// With the intervals of the follow requests, well within the staleness bounds of routes.
constexpr clock::duration observation_interval{250};
// Two replies of the leader are missing.
constexpr clock::duration unconfirmed_after{600};

relay_settings make_relay_settings(const cell_settings& settings, std::string instance)
{
    relay_settings made;
    made.instance = std::move(instance);
    made.failure_domain = settings.failure_domain.text();
    made.endpoint = make_bus_endpoint(settings.host, settings.bus_port);
    made.lease = settings.revocation * 7 / 10;
    made.limit_tolerance = settings.limit_tolerance;
    return made;
}

} // namespace

relay_runner::relay_runner(net::any_io_executor executor, const cell_settings& settings,
                           std::string instance, const line_dialect& dialect, event_log& events,
                           bus& messages)
    : executor_(std::move(executor)), settings_(settings), instance_(std::move(instance)),
      dialect_(dialect), events_(events), messages_(messages),
      relay_(make_relay_settings(settings, instance_), make_incarnation())
{
}

pb::envelope relay_runner::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings_.cell.text());
    message.set_from(instance_);
    return message;
}

void relay_runner::tick(std::string_view leader, clock::time_point now)
{
    leader_ = leader;
    for (const delayed_token_reply& delayed : relay_.take_due_replies(now)) {
        pb::envelope message = make_envelope();
        *message.mutable_tokens() = delayed.reply;
        messages_.reply(delayed.origin, message);
    }
    if (!leader_.empty()) {
        if (std::optional<pb::follow_request> request = relay_.next_follow_request(now)) {
            pb::envelope message = make_envelope();
            *message.mutable_follow() = std::move(*request);
            messages_.send(leader_, message);
        }
        if (std::optional<pb::token_request> request = relay_.next_token_request(now)) {
            pb::envelope message = make_envelope();
            *message.mutable_ask_tokens() = std::move(*request);
            messages_.send(leader_, message);
        }
    }
    announce_fences(now);
    observe_primaries(now);
    log_state(now);
}

void relay_runner::announce_fences(clock::time_point now)
{
    const std::optional<fence_notice> notice = relay_.take_fence_notice(now);
    if (!notice) {
        return;
    }
    pb::envelope message = make_envelope();
    *message.mutable_follow_answer() = notice->reply;
    for (const std::string& instance : notice->instances) {
        if (const auto origin = origins_.find(instance); origin != origins_.end()) {
            messages_.reply(origin->second, message);
        }
    }
}

void relay_runner::log_state(clock::time_point now)
{
    const bool is_confirmed = now - relay_.confirmed_at() < unconfirmed_after;
    if (is_serving() == was_serving_ && is_confirmed == was_confirmed_) {
        return;
    }
    was_serving_ = is_serving();
    was_confirmed_ = is_confirmed;
    events_.decision("relay", was_serving_ ? "serving" : "idle")
        .field("leader", leader_)
        .field("confirmed", is_confirmed)
        .field("confirmed_ms_ago", (now - relay_.confirmed_at()).count())
        .field("followers", static_cast<std::int64_t>(relay_.live_followers(now)));
}

void relay_runner::follow(const bus_origin& origin, const pb::follow_request& request,
                          const pb::published_record* stored)
{
    pb::envelope message = make_envelope();
    *message.mutable_follow_answer() = relay_.follow(request, stored, clock::now());
    messages_.reply(origin, message);
    origins_.insert_or_assign(request.instance(), origin);
}

void relay_runner::grant_tokens(const bus_origin& origin, const pb::token_request& request)
{
    const clock::time_point now = clock::now();
    if (std::optional<pb::token_reply> reply = relay_.grant_tokens(origin, request, now)) {
        pb::envelope message = make_envelope();
        *message.mutable_tokens() = std::move(*reply);
        messages_.reply(origin, message);
        return;
    }
    if (std::optional<pb::token_request> missing = relay_.next_token_request(now);
        missing && !leader_.empty()) {
        pb::envelope message = make_envelope();
        *message.mutable_ask_tokens() = std::move(*missing);
        messages_.send(leader_, message);
    }
}

void relay_runner::receive(const pb::follow_reply& reply)
{
    const clock::time_point now = clock::now();
    relay_.receive(reply, now);
    announce_fences(now);
}

void relay_runner::receive_tokens(const pb::token_reply& reply)
{
    const clock::time_point now = clock::now();
    relay_.receive_tokens(reply, now);
    for (const delayed_token_reply& delayed : relay_.take_due_replies(now)) {
        pb::envelope message = make_envelope();
        *message.mutable_tokens() = delayed.reply;
        messages_.reply(delayed.origin, message);
    }
}

void relay_runner::set_document(std::shared_ptr<const document> current)
{
    relay_.set_document(std::move(current), clock::now());
}

void relay_runner::observe_primaries(clock::time_point now)
{
    for (const relay_lead& lead : relay_.leads()) {
        observation& state = observations_[lead.group];
        if (state.is_running || now - state.started_at < observation_interval) {
            continue;
        }
        if (!state.probe || state.server != lead.server || state.probe->address() != lead.address) {
            state.probe = std::make_shared<promotion::probe>(executor_, dialect_, lead.group,
                                                             lead.server, lead.address);
            state.server = lead.server;
        }
        state.started_at = now;
        state.is_running = true;
        net::co_spawn(executor_, observe(lead.group, lead.server, state.probe), net::detached);
    }
}

net::awaitable<void> relay_runner::observe(std::string group, std::string server,
                                           std::shared_ptr<promotion::probe> probe)
{
    const clock::time_point requested_at = clock::now();
    const promotion::primary_answer answer = co_await probe->check_primary();
    observations_[group].is_running = false;
    const bool has_position = answer.position.term > 0 || answer.position.index > 0;
    if (answer.result == promotion::probe_result::answered && has_position) {
        relay_.record_position(group, server, answer.position, requested_at);
    }
}

} // namespace primrosehead::cell
