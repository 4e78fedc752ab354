// Server selection, retries and hedged reads of the request pipeline.
#include "clock_timer.h"
#include "entry_metrics.h"
#include "entry_pipeline.h"

#include <primrosehead/decision_log.h>
#include <primrosehead/gateway.h>
#include <primrosehead/routing.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

// A read that has no reply after a quarter of its remaining time, clamped to these bounds, is also
// sent to a second server (hedged requests: Dean and Barroso, The Tail at Scale, 2013).
constexpr clock::duration min_hedge_delay{30};
constexpr clock::duration max_hedge_delay{300};
constexpr int hedge_divisor = 4;

routing::random_engine& thread_random_engine()
{
    thread_local routing::random_engine engine(std::random_device{}());
    return engine;
}

clock::duration hedge_delay(clock::time_point now, clock::time_point deadline)
{
    return std::clamp((deadline - now) / hedge_divisor, min_hedge_delay, max_hedge_delay);
}

// Concurrent attempts of one read, all on the caller's strand. The outcome is the first success or,
// if all attempts fail, the last failure.
struct hedged_read {
    explicit hedged_read(const net::any_io_executor& executor) : settled_signal(executor) {}

    net::steady_timer settled_signal;
    int in_flight = 0;
    std::optional<result<pb::backend_reply>> outcome;

    [[nodiscard]] bool is_settled() const { return in_flight == 0 || (outcome && ok(*outcome)); }
};

net::awaitable<void> run_attempt(std::shared_ptr<gateway> servers,
                                 std::shared_ptr<hedged_read> hedged, pb::backend_request request,
                                 clock::time_point deadline)
{
    result<pb::backend_reply> outcome = co_await servers->run(std::move(request), deadline);
    --hedged->in_flight;
    if (!hedged->outcome || !ok(*hedged->outcome)) {
        hedged->outcome = std::move(outcome);
    }
    hedged->settled_signal.cancel();
}

net::awaitable<void> wait_until_settled(hedged_read& hedged, clock::time_point until)
{
    while (!hedged.is_settled() && clock::now() < until) {
        hedged.settled_signal.expires_at(to_steady_time(until));
        co_await hedged.settled_signal.async_wait(no_throw);
    }
}

} // namespace

result<std::string> entry_pipeline::choose_server(const call_context& call,
                                                  const std::vector<server_name>& tried)
{
    const std::vector<server_info> group = servers_->group(call.route.database);
    const clock::time_point now = clock::now();
    result<routing::choice> chosen = [&]() -> result<routing::choice> {
        if (call.route.access == access::write) {
            return routing::choose_write(group, call.group.primary, now);
        }
        routing::read_request read;
        read.minimum = call.min_position;
        read.max_age = call.max_age;
        read.local_domain = settings_.failure_domain;
        read.tried = tried;
        read.primary = call.group.primary;
        return routing::choose_read(group, read, call.policy, now, thread_random_engine());
    }();
    const std::string subject = call.organisation.text() + " on " + call.route.database.text();
    if (!ok(chosen)) {
        record_decision(call.request_id, "route", "none for " + subject, failure(chosen).message);
        return failure(chosen);
    }
    record_decision(call.request_id, "route", value(chosen).server.text() + " for " + subject,
                    std::string(value(chosen).reason));
    return value(chosen).server.text();
}

retry_decision entry_pipeline::decide_next_attempt(const call_context& call, const error& failed,
                                                   std::uint32_t attempts)
{
    attempt last;
    last.failure = failed.kind;
    last.ran = failed.ran;
    last.idempotent =
        call.route.repeatable || call.route.access == access::read || !call.idempotency_id.empty();
    last.attempt_number = attempts;
    last.now = clock::now();
    last.deadline = call.deadline;
    const std::lock_guard lock(budget_guard_);
    return decide_retry(last, budget_);
}

net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_once(const call_context& call, const pb::backend_request& request)
{
    pb::backend_request sent = request;
    co_return co_await servers_->run(std::move(sent), call.deadline);
}

// Runs a read on `request.server()` and, if no reply arrives within the hedge delay, on a second
// server as well.
net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_hedged(const call_context& call, const pb::backend_request& request,
                           std::vector<server_name>& tried)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const auto hedged = std::make_shared<hedged_read>(executor);
    const auto start = [&](const pb::backend_request& attempt_request) {
        ++hedged->in_flight;
        net::co_spawn(executor, run_attempt(servers_, hedged, attempt_request, call.deadline),
                      net::detached);
    };
    start(request);
    const clock::time_point now = clock::now();
    co_await wait_until_settled(*hedged, now + hedge_delay(now, call.deadline));
    if (!hedged->is_settled()) {
        std::vector<server_name> excluded = tried;
        excluded.emplace_back(request.server());
        const error no_reply{error_kind::timed_out, "No reply within the hedge delay.", "",
                             ran::unknown};
        const result<std::string> second =
            decide_next_attempt(call, no_reply, 1) == retry_decision::retry
                ? choose_server(call, excluded)
                : result<std::string>(
                      error{error_kind::overloaded, "The retry budget is exhausted.", ""});
        if (ok(second)) {
            record_decision(call.request_id, "retry", "hedge at " + value(second),
                            request.server() + " takes long");
            metrics_.count_retry();
            pb::backend_request hedge = request;
            hedge.set_server(value(second));
            tried.emplace_back(value(second));
            start(hedge);
        }
    }
    co_await wait_until_settled(*hedged, call.deadline + max_hedge_delay);
    if (!hedged->outcome) {
        co_return error{error_kind::timed_out, "No server replied before the deadline.",
                        "Check the health of the servers, or increase the request's timeout.",
                        ran::unknown};
    }
    co_return *hedged->outcome;
}

net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_with_retries(call_context& call, pb::backend_request& request)
{
    std::vector<server_name> tried;
    // A later refusal does not undo an earlier attempt that may have run.
    enum ran ran_so_far = ran::no;
    {
        const std::lock_guard lock(budget_guard_);
        budget_.set_ratio(call.policy.retry_share);
        budget_.record_request();
    }
    for (std::uint32_t attempts = 1;; ++attempts) {
        result<std::string> server = choose_server(call, tried);
        if (!ok(server)) {
            error refused = failure(server);
            refused.ran = ran_so_far;
            co_return refused;
        }
        request.set_server(value(server));
        const bool may_hedge = !request.write() && request.operation() == pb::BACKEND_EXECUTE;
        reply_result outcome;
        if (may_hedge) {
            outcome = co_await run_hedged(call, request, tried);
        }
        else {
            outcome = co_await run_once(call, request);
        }
        if (ok(outcome)) {
            if (!request.write()) {
                metrics_.count_read(value(outcome).role() == "replica");
            }
            co_return outcome;
        }
        error& failed = std::get<error>(outcome);
        const retry_decision decision = decide_next_attempt(call, failed, attempts);
        record_decision(call.request_id, "retry", std::string(to_string(decision)),
                        value(server) + ": " + describe(failed));
        ran_so_far = std::max(ran_so_far, failed.ran);
        if (decision != retry_decision::retry) {
            failed.ran = ran_so_far;
            co_return outcome;
        }
        metrics_.count_retry();
        tried.emplace_back(value(server));
    }
}

} // namespace primrosehead
