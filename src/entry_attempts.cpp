// The part of the pipeline that tries servers: choice, retries, and hedged reads.
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

// A read without an answer after a quarter of its time, within these bounds, is tried at a second
// server as well (hedged requests: Dean and Barroso, The Tail at Scale, 2013).
constexpr clock::duration shortest_hedge{30};
constexpr clock::duration longest_hedge{300};
constexpr int hedge_divisor = 4;

routing::random_engine& random_of_thread()
{
    thread_local routing::random_engine engine(std::random_device{}());
    return engine;
}

clock::duration hedge_after(clock::time_point now, clock::time_point deadline)
{
    return std::clamp((deadline - now) / hedge_divisor, shortest_hedge, longest_hedge);
}

// Tries of one read that run at the same time, all on the caller's strand. The first success wins;
// without one, the last failure counts.
struct read_race {
    explicit read_race(const net::any_io_executor& executor) : changed(executor) {}

    net::steady_timer changed;
    int running = 0;
    std::optional<result<pb::backend_reply>> outcome;

    [[nodiscard]] bool is_over() const { return running == 0 || (outcome && ok(*outcome)); }
};

net::awaitable<void> join_race(std::shared_ptr<gateway> servers, std::shared_ptr<read_race> race,
                               pb::backend_request work, clock::time_point deadline)
{
    result<pb::backend_reply> outcome = co_await servers->run(std::move(work), deadline);
    --race->running;
    if (!race->outcome || !ok(*race->outcome)) {
        race->outcome = std::move(outcome);
    }
    race->changed.cancel();
}

net::awaitable<void> wait_for(read_race& race, clock::time_point until)
{
    while (!race.is_over() && clock::now() < until) {
        race.changed.expires_at(steady(until));
        co_await race.changed.async_wait(no_throw);
    }
}

} // namespace

result<std::string> entry_pipeline::choose(const call_context& call,
                                           const std::vector<server_name>& tried)
{
    const std::vector<server_info> group = servers_->group(call.route.database);
    const clock::time_point now = clock::now();
    result<routing::choice> chosen = [&]() -> result<routing::choice> {
        if (call.route.access == access::write) {
            return routing::choose_write(group, call.group.primary, now);
        }
        routing::read_request read;
        read.minimum = call.minimum;
        read.max_age = call.max_age;
        read.local_domain = settings_.failure_domain;
        read.tried = tried;
        read.primary = call.group.primary;
        return routing::choose_read(group, read, call.policy, now, random_of_thread());
    }();
    const std::string wanted = call.organisation.text() + " on " + call.route.database.text();
    if (!ok(chosen)) {
        note(call.request_id, "route", "none for " + wanted, failure(chosen).message);
        return failure(chosen);
    }
    note(call.request_id, "route", value(chosen).server.text() + " for " + wanted,
         std::string(value(chosen).reason));
    return value(chosen).server.text();
}

retry_decision entry_pipeline::again(const call_context& call, const error& failed,
                                     std::uint32_t tries)
{
    attempt last;
    last.failure = failed.kind;
    last.ran = failed.ran;
    last.idempotent =
        call.route.repeatable || call.route.access == access::read || !call.idempotency_id.empty();
    last.attempt_number = tries;
    last.now = clock::now();
    last.deadline = call.deadline;
    const std::lock_guard lock(budget_guard_);
    return decide_retry(last, budget_);
}

net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_once(const call_context& call, const pb::backend_request& work)
{
    pb::backend_request sent = work;
    co_return co_await servers_->run(std::move(sent), call.deadline);
}

// Runs a read on `work.server()`, and on a second server too when the first takes long.
net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_hedged(const call_context& call, const pb::backend_request& work,
                           std::vector<server_name>& tried)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const auto race = std::make_shared<read_race>(executor);
    const auto start = [&](const pb::backend_request& request) {
        ++race->running;
        net::co_spawn(executor, join_race(servers_, race, request, call.deadline), net::detached);
    };
    start(work);
    const clock::time_point now = clock::now();
    co_await wait_for(*race, now + hedge_after(now, call.deadline));
    if (!race->is_over()) {
        std::vector<server_name> others = tried;
        others.emplace_back(work.server());
        const error slow{error_kind::timed_out, "No answer yet.", "", ran::unknown};
        const result<std::string> second =
            again(call, slow, 1) == retry_decision::retry
                ? choose(call, others)
                : result<std::string>(error{error_kind::overloaded, "No retry is left.", ""});
        if (ok(second)) {
            note(call.request_id, "retry", "hedge at " + value(second),
                 work.server() + " takes long");
            numbers_.retried();
            pb::backend_request hedge = work;
            hedge.set_server(value(second));
            tried.emplace_back(value(second));
            start(hedge);
        }
    }
    co_await wait_for(*race, call.deadline + longest_hedge);
    if (!race->outcome) {
        co_return error{error_kind::timed_out, "No server answered before the deadline.",
                        "Look at the servers' health, or give the request more time.",
                        ran::unknown};
    }
    co_return *race->outcome;
}

net::awaitable<entry_pipeline::reply_result>
entry_pipeline::run_with_retries(call_context& call, pb::backend_request& work)
{
    std::vector<server_name> tried;
    enum ran ran_so_far = ran::no; // a later refusal doesn't undo what an earlier try may have run
    {
        const std::lock_guard lock(budget_guard_);
        budget_.set_ratio(call.policy.retry_share);
        budget_.record_request();
    }
    for (std::uint32_t tries = 1;; ++tries) {
        result<std::string> server = choose(call, tried);
        if (!ok(server)) {
            error refused = failure(server);
            refused.ran = ran_so_far;
            co_return refused;
        }
        work.set_server(value(server));
        const bool may_hedge = !work.write() && work.operation() == pb::BACKEND_EXECUTE;
        reply_result outcome;
        if (may_hedge) {
            outcome = co_await run_hedged(call, work, tried);
        }
        else {
            outcome = co_await run_once(call, work);
        }
        if (ok(outcome)) {
            if (!work.write()) {
                numbers_.served_by(value(outcome).role() == "replica");
            }
            co_return outcome;
        }
        error& failed = std::get<error>(outcome);
        const retry_decision decided = again(call, failed, tries);
        note(call.request_id, "retry", std::string(to_string(decided)),
             value(server) + ": " + describe(failed));
        ran_so_far = std::max(ran_so_far, failed.ran);
        if (decided != retry_decision::retry) {
            failed.ran = ran_so_far;
            co_return outcome;
        }
        numbers_.retried();
        tried.emplace_back(value(server));
    }
}

} // namespace primrosehead
