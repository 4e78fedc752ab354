#include "pooler_home_client.h"

#include "clock_timer.h"
#include "event_log.h"
#include "pooler_follower.h"
#include "pooler_home_limits.h"
#include "pooler_home_server.h"
#include "pooler_metrics.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
// The home stops at the deadline too; its reply is on the way for as long as an answer may take.
constexpr clock::duration reply_margin = home_calls::silence_limit;
// Bounds the log while the list of peers changes.
constexpr clock::duration choice_log_interval{1'000};

} // namespace

struct home_client::pending_call {
    pending_call(const net::any_io_executor& executor, home_call_kind of_kind)
        : wakeup(executor), kind(of_kind)
    {
    }
    net::steady_timer wakeup;
    home_call_kind kind;
    home_result result;
    bool is_finished = false;
};

home_client::home_client(net::any_io_executor executor, home_client_settings settings,
                         follower& control, home_server& own, event_log& events,
                         instance_metrics& metrics)
    : executor_(std::move(executor)), settings_(std::move(settings)), control_(control), own_(own),
      events_(events), metrics_(metrics)
{
}

home_client::~home_client() = default;

bool home_client::is_active(std::string_view group) const
{
    if (settings_.connections_per_instance <= 0 || !control_.current_document()) {
        return false;
    }
    const document_group* const found = control_.current_document()->group(group);
    return found != nullptr &&
           uses_homes(found->connection_limit, control_.live_instances(),
                      settings_.connections_per_instance, control_.has_positions(clock::now()));
}

std::vector<home_address> home_client::homes_of(std::string_view server,
                                                std::string_view failure_domain,
                                                std::string_view organisation,
                                                clock::time_point now, const region_set& allowed)
{
    std::vector<home_address> homes =
        control_.homes().homes_of(server, failure_domain, organisation, now, allowed);
    const std::string_view best = homes.empty() ? std::string_view() : homes.front().instance;
    auto found = chosen_.find(server);
    if (found == chosen_.end()) {
        found = chosen_.emplace(std::string(server), chosen_home{}).first;
    }
    chosen_home& chosen = found->second;
    if (chosen.instance != best && now - chosen.logged_at >= choice_log_interval) {
        events_.decision("home", best.empty() ? "none" : "chosen")
            .field("server", server)
            .field("home", best)
            .field("previous", chosen.instance)
            .field("peers_revision", static_cast<std::int64_t>(control_.homes().revision()));
        chosen = {std::string(best), now};
    }
    return homes;
}

void home_client::send(const home_address& home, pb::home_request& request)
{
    request.set_call(++last_call_);
    request.set_incarnation(settings_.incarnation);
    transmit(home, request);
}

void home_client::transmit(const home_address& home, const pb::home_request& request)
{
    if (home.instance == settings_.instance) {
        const std::uint64_t call = request.call();
        own_.submit_local(request,
                          [this, call](const pb::home_reply& reply) { finish(call, reply); });
        return;
    }
    pb::envelope message;
    message.set_cell(settings_.cell);
    message.set_from(settings_.instance);
    *message.mutable_home_call() = request;
    send_(home.endpoint, message);
}

void home_client::notify(const home_address& home, pb::home_request request)
{
    send(home, request);
}

// Removes an unanswered call from the home's queue, if it still waits there.
void home_client::cancel(const home_address& home, const pb::home_request& request)
{
    pb::home_request message;
    message.set_operation(pb::HOME_CANCEL);
    message.set_call(request.call());
    message.set_incarnation(request.incarnation());
    transmit(home, message);
}

net::awaitable<home_result> home_client::call(const home_address& home, pb::home_request& request,
                                              home_call_kind kind, clock::time_point deadline)
{
    const clock::time_point asked_at = clock::now();
    const bool is_remote = home.instance != settings_.instance;
    pending_call pending(executor_, kind);
    const std::uint64_t call = last_call_ + 1;
    pending_.emplace(call, &pending);
    if (is_remote) {
        calls_.add(call, home.instance, asked_at);
    }
    send(home, request);
    if (!pending.is_finished) {
        pending.wakeup.expires_at(to_steady_time(deadline + reply_margin));
        co_await pending.wakeup.async_wait(no_throw);
    }
    pending_.erase(call);
    if (is_remote) {
        static_cast<void>(calls_.finish(call, home.instance));
    }
    if (!pending.is_finished) {
        cancel(home, request);
    }
    metrics_.record_home_call(pending.result.ending);
    co_return std::move(pending.result);
}

void home_client::finish(std::uint64_t call, const pb::home_reply& reply)
{
    const auto found = pending_.find(call);
    if (found == pending_.end() || found->second->is_finished) {
        metrics_.record_home_late_reply();
        return;
    }
    found->second->result = read_home_reply(reply);
    found->second->is_finished = true;
    found->second->wakeup.cancel();
}

void home_client::receive(std::string_view from, const pb::home_reply& reply, clock::time_point now)
{
    // The number of a call of an earlier start of this process may be in use again.
    const bool is_own = reply.incarnation() == settings_.incarnation;
    if (!is_own || !calls_.record_progress(reply.call(), from, now)) {
        metrics_.record_home_late_reply();
        return;
    }
    static_cast<void>(calls_.finish(reply.call(), from));
    control_.homes().record_answer(from);
    finish(reply.call(), reply);
}

void home_client::receive(std::string_view from, const pb::home_progress& progress,
                          clock::time_point now)
{
    if (progress.incarnation() != settings_.incarnation) {
        return;
    }
    bool is_expected = false;
    for (const std::uint64_t call : progress.calls()) {
        is_expected = calls_.record_progress(call, from, now) || is_expected;
    }
    if (is_expected) {
        control_.homes().record_answer(from);
    }
}

void home_client::tick(clock::time_point now)
{
    std::map<std::string, std::int64_t> lost; // calls by home
    for (const home_calls::silent_call& each : calls_.newly_silent(now)) {
        ++lost[each.home];
        const auto found = pending_.find(each.call);
        if (found != pending_.end() && ends_on_silence(found->second->kind)) {
            found->second->wakeup.cancel();
        }
    }
    for (const auto& [home, calls] : lost) {
        control_.homes().record_silence(home, now);
        events_.decision("home", "lost")
            .field("home", home)
            .field("calls", calls)
            .field("silent_ms", home_calls::silence_limit.count());
    }
}

} // namespace primrosehead::pooler
