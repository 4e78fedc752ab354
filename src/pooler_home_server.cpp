#include "pooler_home_server.h"

#include "clock_timer.h"
#include "document.h"
#include "event_log.h"
#include "pooler_execution.h"
#include "pooler_follower.h"
#include "pooler_home_message.h"
#include "pooler_metrics.h"
#include "pooler_pool.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <vector>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
constexpr clock::duration progress_interval{100};
constexpr clock::duration expiry_interval{100};
// The origin ends a transaction that its caller left idle. The home ends it later, in case the
// origin's message was lost.
constexpr clock::duration idle_margin{1'000};
constexpr clock::duration default_idle_limit{3'000};
// Hint when the home has no free connection.
constexpr clock::duration saturated_retry_after{100};
// One in this many answered operations is logged, and every other one.
constexpr std::uint64_t log_sample_interval = 256;
constexpr double hundredths = 100;

document_route make_route(const pb::home_request& request)
{
    document_route route;
    route.name = "home";
    route.group = request.group();
    route.priority = request.priority();
    route.statement_timeout = clock::duration(request.remaining_ms());
    route.latency_objective = clock::duration(request.objective_ms());
    return route;
}

void apply_values(const pb::home_request& request, session_context& session)
{
    session.values.clear();
    for (const pb::session_value& each : request.values()) {
        session.values.insert_or_assign(each.name(), each.value());
    }
}

admission::outcome outcome_of(server_contact contact, bool is_busy)
{
    switch (contact) {
    case server_contact::answered:
        return is_busy ? admission::outcome::busy : admission::outcome::done;
    case server_contact::refused:
        return admission::outcome::done;
    case server_contact::lost:
        return admission::outcome::silent;
    case server_contact::none:
    case server_contact::saturated:
        break;
    }
    return admission::outcome::failed;
}

void describe_contact(server_contact contact, const line_answer& answer, pb::home_reply& reply)
{
    switch (contact) {
    case server_contact::answered:
        reply.set_result(pb::HOME_ANSWERED);
        write_answer(answer, *reply.mutable_answer());
        return;
    case server_contact::refused:
        reply.set_result(pb::HOME_REFUSED);
        write_answer(answer, *reply.mutable_answer());
        return;
    case server_contact::saturated:
        reply.set_result(pb::HOME_REFUSED);
        reply.set_retry_after_ms(static_cast<std::uint32_t>(saturated_retry_after.count()));
        reply.set_reason("no free connection");
        return;
    case server_contact::none:
        reply.set_result(pb::HOME_UNAVAILABLE);
        reply.set_reason("no connection to the server");
        return;
    case server_contact::lost:
        break;
    }
    reply.set_result(pb::HOME_LOST);
    reply.set_reason("the server did not answer");
}

home_handle handle_of(const std::string& origin, const pb::home_request& request)
{
    return {origin, request.incarnation(), request.transaction()};
}

bool is_of_transaction(const pb::home_request& request)
{
    return request.operation() == pb::HOME_STATEMENT || request.operation() == pb::HOME_COMMIT;
}

} // namespace

// An operation that was accepted and not answered yet.
struct home_server::task {
    task(const net::any_io_executor& executor, std::string origin, pb::home_request of_request,
         completion reply)
        : wakeup(executor), from(std::move(origin)), request(std::move(of_request)),
          done(std::move(reply))
    {
    }
    std::uint64_t id = 0;
    net::steady_timer wakeup;
    std::string from;
    pb::home_request request;
    completion done;
    clock::time_point arrived_at;
    clock::time_point started_at;
    clock::time_point deadline;
    bool is_started = false;
    std::optional<admission::refusal> refused;
    server_contact contact = server_contact::none;
    bool is_busy = false; // the server's queue was full
};

struct home_server::open_transaction {
    explicit open_transaction(context& ctx) : run(ctx, session) {}
    document_route route;
    session_context session;
    execution run;
};

struct home_server::server_queue {
    explicit server_queue(std::uint32_t announced_slots)
        : order(announced_slots, admission::service_order::objective_first), slots(announced_slots)
    {
    }
    admission::queue order;
    std::uint32_t slots;
};

home_server::home_server(context& ctx, std::string cell, std::string instance)
    : context_(ctx), cell_(std::move(cell)), instance_(std::move(instance))
{
}

home_server::~home_server() = default;

void home_server::receive(const bus_origin& origin, const std::string& from,
                          const pb::home_request& request, clock::time_point now)
{
    const auto done = [this, origin](const pb::home_reply& reply) {
        pb::envelope message;
        message.set_cell(cell_);
        message.set_from(instance_);
        *message.mutable_home_answer() = reply;
        reply_(origin, message);
    };
    if (!context_.control.homes().has_peer(from)) {
        refuse(from, request, done, pb::HOME_INVALID, "not_a_peer");
        return;
    }
    links_[from] = {origin, request.incarnation()};
    submit(from, request, done, now);
}

void home_server::submit_local(const pb::home_request& request, completion done)
{
    submit(instance_, request, std::move(done), clock::now());
}

// Answers a request that is not run.
void home_server::refuse(const std::string& from, const pb::home_request& request,
                         const completion& done, pb::home_result result, std::string_view reason)
{
    context_.metrics.record_home_refusal(result == pb::HOME_INVALID);
    event_line(context_.events,
               result == pb::HOME_INVALID ? event_priority::decision : event_priority::detail,
               "home", "refused")
        .field("id", request.statement_id())
        .field("origin", from)
        .field("server", request.server())
        .field("result", pb::home_result_Name(result))
        .field("reason", reason);
    pb::home_reply reply;
    reply.set_call(request.call());
    reply.set_incarnation(request.incarnation());
    reply.set_result(result);
    reply.set_reason(std::string(reason));
    done(reply);
}

bool home_server::accept(const std::string& from, const pb::home_request& request,
                         const completion& done, clock::time_point now)
{
    const std::string_view malformed = find_home_request_error(request);
    if (!malformed.empty()) {
        refuse(from, request, done, pb::HOME_INVALID, malformed);
        return false;
    }
    std::vector<home_handle> ended;
    const home_verdict verdict =
        ledger_.accept_call(from, request.incarnation(), request.call(), now, ended);
    for (const home_handle& handle : ended) {
        roll_back(handle, "origin_restarted");
    }
    if (verdict == home_verdict::duplicate) {
        // Not answered: the first copy may run, so "not sent" would be untrue.
        context_.metrics.record_home_duplicate();
        context_.events.detail("home", "duplicate")
            .field("id", request.statement_id())
            .field("origin", from);
        return false;
    }
    if (verdict != home_verdict::run) {
        refuse(from, request, done, pb::HOME_INVALID, to_string(verdict));
        return false;
    }
    return true;
}

bool home_server::accept_step(const std::string& from, const pb::home_request& request,
                              const completion& done, clock::time_point now)
{
    const home_handle handle = handle_of(from, request);
    const home_verdict verdict = ledger_.accept_step(handle, request.step(), now);
    if (verdict != home_verdict::run) {
        refuse(from, request, done, pb::HOME_INVALID, to_string(verdict));
        return false;
    }
    if (open_.contains(handle)) {
        return true;
    }
    auto opened = std::make_shared<open_transaction>(context_);
    opened->route = make_route(request);
    apply_values(request, opened->session);
    pinned_server pinned{request.server(), std::nullopt};
    if (request.has_minimum()) {
        pinned.minimum = read_position(request.minimum());
    }
    operation op;
    op.route = &opened->route;
    op.organisation = request.organisation();
    op.began_at = now;
    opened->run.pin(std::move(pinned));
    opened->run.begin_pinned(op, request.read_only());
    open_.emplace(handle, std::move(opened));
    return true;
}

void home_server::submit(const std::string& from, const pb::home_request& request, completion done,
                         clock::time_point now)
{
    if (request.operation() == pb::HOME_CANCEL) {
        cancel(from, request);
        return;
    }
    if (!accept(from, request, done, now)) {
        return;
    }
    if (request.operation() == pb::HOME_ROLLBACK) {
        roll_back(handle_of(from, request), {});
        return;
    }
    const bool continues = is_of_transaction(request) && request.step() > 1;
    if (is_leaving_ && !continues) {
        refuse(from, request, done, pb::HOME_LEAVING, "leaving");
        return;
    }
    const std::shared_ptr<pooled_server> server =
        context_.connections.find_server(request.group(), request.server());
    const bool is_known =
        server && (request.born_ms() == 0 || request.born_ms() == server->born_ms);
    if (!is_known && !continues) {
        refuse(from, request, done, pb::HOME_UNAVAILABLE, "unknown_server");
        return;
    }
    if (is_of_transaction(request) && !accept_step(from, request, done, now)) {
        return;
    }
    start(from, request, std::move(done), now);
}

void home_server::start(const std::string& from, const pb::home_request& request, completion done,
                        clock::time_point now)
{
    auto work = std::make_shared<task>(context_.executor, from, request, std::move(done));
    work->id = ++last_task_;
    work->arrived_at = now;
    work->deadline = now + clock::duration(request.remaining_ms());
    tasks_.emplace(work->id, work);
    net::co_spawn(context_.executor, run_task(std::move(work)), net::detached);
}

// Queues the operation; returns false if it was refused.
net::awaitable<bool> home_server::await_turn(task& work)
{
    const clock::time_point now = clock::now();
    const std::shared_ptr<pooled_server> server =
        context_.connections.find_server(work.request.group(), work.request.server());
    const std::uint32_t slots = server ? server->slots : 1;
    server_queue& queue = queues_.try_emplace(work.request.server(), slots).first->second;
    if (queue.slots != slots) {
        queue.slots = slots;
        queue.order.set_announced_slots(slots, now);
    }
    admission::work item;
    item.id = work.id;
    item.organisation = work.request.organisation();
    item.priority = work.request.priority();
    item.arrived_at = work.arrived_at;
    item.deadline = work.deadline;
    item.objective = work.arrived_at + clock::duration(work.request.objective_ms());
    item.continues_transaction = is_of_transaction(work.request) && work.request.step() > 1;
    work.refused = queue.order.submit(std::move(item), now);
    if (work.refused) {
        co_return false;
    }
    dispatch(queue);
    if (!work.is_started && !work.refused) {
        // The queue's own expiry ends the wait earlier; the timer bounds it.
        work.wakeup.expires_at(to_steady_time(work.deadline + expiry_interval * 2));
        co_await work.wakeup.async_wait(no_throw);
    }
    if (!work.is_started && !work.refused) {
        static_cast<void>(queue.order.cancel(work.id));
        work.refused = admission::refusal{work.id, saturated_retry_after, "deadline_passed"};
    }
    co_return work.is_started;
}

net::awaitable<void> home_server::run_task(std::shared_ptr<task> work)
{
    pb::home_reply reply;
    const bool may_run = co_await await_turn(*work);
    if (may_run) {
        try {
            co_await run_statement(*work, reply);
        }
        catch (const std::exception& unexpected) {
            context_.events.decision("home", "failed")
                .field("id", work->request.statement_id())
                .field("error", unexpected.what());
            work->contact = server_contact::lost; // it may have been sent
            reply.Clear();
            describe_contact(work->contact, {}, reply);
        }
        const auto queue = queues_.find(work->request.server());
        queue->second.order.finish(work->id, outcome_of(work->contact, work->is_busy),
                                   clock::now());
        dispatch(queue->second);
    }
    else {
        reply.set_result(pb::HOME_REFUSED);
        reply.set_retry_after_ms(static_cast<std::uint32_t>(
            std::max<std::int64_t>(1, work->refused->retry_after.count())));
        reply.set_reason(std::string(work->refused->reason));
    }
    finish(*work, reply);
}

net::awaitable<void> home_server::run_statement(task& work, pb::home_reply& reply)
{
    work.started_at = clock::now();
    if (is_of_transaction(work.request)) {
        co_await run_step(work, reply);
    }
    else {
        co_await run_single(work, reply);
    }
}

net::awaitable<void> home_server::run_single(task& work, pb::home_reply& reply)
{
    const pb::home_request& request = work.request;
    const document_route route = make_route(request);
    session_context session;
    apply_values(request, session);
    prepared_statement prepared{request.prepared_write(), request.prepared_shape(),
                                request.prepared_name()};
    operation op;
    op.route = &route;
    op.organisation = request.organisation();
    op.began_at = work.started_at;
    server_statement statement;
    statement.id = request.statement_id();
    statement.text = request.statement();
    statement.is_write = request.operation() == pb::HOME_WRITE;
    statement.prepared = prepared.pool_name.empty() ? nullptr : &prepared;
    pinned_server pinned{request.server(), std::nullopt};
    if (request.operation() == pb::HOME_READ_REPLICA) {
        pinned.minimum = read_position(request.minimum());
    }
    execution run(context_, session);
    run.pin(std::move(pinned));
    const line_answer answer = co_await run.run_pinned(op, statement, work.deadline);
    work.contact = run.contact();
    work.is_busy = answer.is_error && answer.code == context_.dialect.busy;
    describe_contact(work.contact, answer, reply);
}

net::awaitable<void> home_server::run_step(task& work, pb::home_reply& reply)
{
    const pb::home_request& request = work.request;
    const home_handle handle = handle_of(work.from, request);
    const auto found = open_.find(handle);
    if (found == open_.end()) { // rolled back while the statement was queued
        reply.set_result(pb::HOME_INVALID);
        reply.set_reason(std::string(to_string(home_verdict::unknown_transaction)));
        co_return;
    }
    const std::shared_ptr<open_transaction> transaction = found->second;
    transaction->route.statement_timeout =
        std::max(clock::duration(1), work.deadline - clock::now());
    apply_values(request, transaction->session);
    prepared_statement prepared{request.prepared_write(), request.prepared_shape(),
                                request.prepared_name()};
    line_answer answer;
    if (request.operation() == pb::HOME_COMMIT) {
        answer = co_await transaction->run.commit(request.statement_id());
    }
    else {
        server_statement statement;
        statement.id = request.statement_id();
        statement.text = request.statement();
        statement.is_write = request.write();
        statement.prepared = prepared.pool_name.empty() ? nullptr : &prepared;
        answer = co_await transaction->run.run(statement);
    }
    work.contact = transaction->run.contact();
    work.is_busy = answer.is_error && answer.code == context_.dialect.busy;
    describe_contact(work.contact, answer, reply);
    if (!transaction->run.is_open()) {
        ledger_.end(handle);
        open_.erase(handle);
    }
}

void home_server::finish(task& work, pb::home_reply& reply)
{
    const clock::time_point now = clock::now();
    const pb::home_request& request = work.request;
    if (is_of_transaction(request)) {
        const home_handle handle = handle_of(work.from, request);
        const bool is_unbegun = !work.is_started && request.step() == 1;
        if (is_unbegun) {
            ledger_.end(handle);
            open_.erase(handle);
        }
        ledger_.finish_step(handle, now);
    }
    const auto queue = queues_.find(request.server());
    reply.set_call(request.call());
    reply.set_incarnation(request.incarnation());
    const clock::time_point waited_until = work.is_started ? work.started_at : now;
    reply.set_waited_ms(static_cast<std::uint32_t>((waited_until - work.arrived_at).count()));
    if (queue != queues_.end()) {
        reply.set_waiting(static_cast<std::uint32_t>(queue->second.order.waiting()));
        reply.set_concurrency(
            static_cast<std::uint32_t>(queue->second.order.concurrency(now) * hundredths));
    }
    context_.metrics.record_home_work(reply.result() == pb::HOME_ANSWERED);
    const bool is_answered = reply.result() == pb::HOME_ANSWERED;
    if (!is_answered || ++served_ % log_sample_interval == 0) {
        event_line(context_.events, is_answered ? event_priority::detail : event_priority::decision,
                   "home", is_answered ? "answered" : "not_answered")
            .field("id", request.statement_id())
            .field("origin", work.from)
            .field("server", request.server())
            .field("operation", pb::home_operation_Name(request.operation()))
            .field("result", pb::home_result_Name(reply.result()))
            .field("reason", reply.reason())
            .field("waited_ms", static_cast<std::int64_t>(reply.waited_ms()))
            .field("took_ms", (now - work.arrived_at).count())
            .field("waiting", static_cast<std::int64_t>(reply.waiting()));
    }
    tasks_.erase(work.id);
    work.done(reply);
}

void home_server::refuse_task(const admission::refusal& refused)
{
    const auto found = tasks_.find(refused.id);
    if (found != tasks_.end() && !found->second->is_started) {
        found->second->refused = refused;
        found->second->wakeup.cancel();
    }
}

// Refuses what expired and starts what the server takes now.
void home_server::dispatch(server_queue& queue)
{
    const clock::time_point now = clock::now();
    for (const admission::refusal& refused : queue.order.expire(now)) {
        refuse_task(refused);
    }
    while (const std::optional<std::uint64_t> next = queue.order.start_next(now)) {
        const auto found = tasks_.find(*next);
        if (found == tasks_.end()) {
            queue.order.finish(*next, admission::outcome::failed, now);
            continue;
        }
        found->second->is_started = true;
        found->second->wakeup.cancel();
    }
}

void home_server::cancel(const std::string& from, const pb::home_request& request)
{
    for (const auto& [id, work] : tasks_) {
        const bool is_meant = work->from == from && work->request.call() == request.call() &&
                              work->request.incarnation() == request.incarnation();
        if (!is_meant || work->is_started) {
            continue;
        }
        const auto queue = queues_.find(work->request.server());
        if (queue != queues_.end() && queue->second.order.cancel(id)) {
            refuse_task({id, saturated_retry_after, "cancelled"});
        }
        return;
    }
}

// Forgets a transaction. Its connection is rolled back once no statement runs on it.
void home_server::roll_back(const home_handle& handle, std::string_view reason)
{
    ledger_.end(handle);
    const bool was_open = open_.erase(handle) > 0;
    if (was_open && !reason.empty()) {
        context_.events.decision("home", "transaction_ended")
            .field("origin", handle.origin)
            .field("transaction", static_cast<std::int64_t>(handle.number))
            .field("reason", reason);
    }
}

void home_server::roll_back_all()
{
    while (!open_.empty()) {
        const home_handle handle = open_.begin()->first;
        roll_back(handle, "leaving");
    }
}

void home_server::send_progress(clock::time_point now)
{
    progress_sent_at_ = now;
    std::map<std::string_view, pb::home_progress> by_origin;
    for (const auto& [id, work] : tasks_) {
        if (work->from != instance_) {
            by_origin[work->from].add_calls(work->request.call());
        }
    }
    for (auto& [origin, progress] : by_origin) {
        const auto link = links_.find(origin);
        if (link == links_.end()) {
            continue;
        }
        pb::envelope message;
        message.set_cell(cell_);
        message.set_from(instance_);
        progress.set_incarnation(link->second.incarnation);
        message.mutable_home_alive()->Swap(&progress);
        reply_(link->second.address, message);
    }
}

void home_server::tick(clock::time_point now)
{
    if (now - progress_sent_at_ >= progress_interval && !tasks_.empty()) {
        send_progress(now);
    }
    for (auto& [server, queue] : queues_) {
        dispatch(queue);
    }
    if (now - expired_at_ < expiry_interval) {
        return;
    }
    expired_at_ = now;
    const std::shared_ptr<const document>& snapshot = context_.control.current_document();
    const clock::duration idle_limit =
        (snapshot ? snapshot->content().idle_transaction_timeout : default_idle_limit) +
        idle_margin;
    const auto is_peer = [this](std::string_view origin) {
        return origin == instance_ || context_.control.homes().has_peer(origin);
    };
    for (const home_handle& handle : ledger_.expire(now, idle_limit, is_peer)) {
        roll_back(handle, "abandoned");
    }
    std::erase_if(links_, [&](const auto& item) { return !is_peer(item.first); });
}

} // namespace primrosehead::pooler
