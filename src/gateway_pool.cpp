#include "gateway_pool.h"

#include "gateway_errors.h"

#include <algorithm>
#include <utility>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr clock::duration rollback_timeout{1'000};
constexpr clock::duration retry_after_full{100};

// An old and a new owner of a server may both have connections for moments.
constexpr std::uint32_t owners_at_once = 2;

fair_queue::queued_request waiting_for(const pb::backend_request& request,
                                       clock::time_point deadline)
{
    return {organisation_name(request.organisation()), std::max(1U, request.weight()), deadline};
}

// A read changes no database, whatever became of its answer.
void settle_ran(result<pb::backend_reply>& outcome, bool write)
{
    if (!ok(outcome) && !write) {
        std::get<error>(outcome).ran = ran::no;
    }
}

bool is_lost(const result<pb::backend_reply>& outcome)
{
    return !ok(outcome) && failure(outcome).kind == error_kind::connection_lost;
}

bool is_gone(const result<pb::backend_reply>& outcome)
{
    return !ok(outcome) && failure(outcome).kind == error_kind::unknown_transaction;
}

pb::backend_reply empty_reply(const pb::backend_request& request)
{
    pb::backend_reply reply;
    reply.set_request_id(request.request_id());
    return reply;
}

} // namespace

gateway_pool::gateway_pool(std::shared_ptr<gateway_context> context, net::any_io_executor strand,
                           pool_limits limits)
    : context_(std::move(context)), strand_(std::move(strand)), limits_(std::move(limits)),
      slots_(strand_, limits_.slots, context_->counters.queued),
      places_(strand_, transaction_places(), context_->counters.queued)
{
}

std::uint32_t gateway_pool::capacity() const noexcept
{
    return std::max<std::uint32_t>(1, limits_.connection_limit / owners_at_once);
}

std::uint32_t gateway_pool::transaction_places() const noexcept
{
    const std::uint32_t kept_for_statements = std::min(limits_.slots, capacity() - 1);
    return std::max<std::uint32_t>(1, capacity() - kept_for_statements);
}

void gateway_pool::configure(const pool_limits& limits)
{
    if (limits == limits_) {
        return;
    }
    if (limits.url != limits_.url) {
        idle_.clear();
    }
    limits_ = limits;
    slots_.resize(limits_.slots);
    places_.resize(transaction_places());
}

net::awaitable<result<gateway_pool::taken_connection>>
gateway_pool::take(clock::time_point deadline)
{
    while (!idle_.empty()) {
        taken_connection warm{std::move(idle_.back().link), true};
        idle_.pop_back();
        if (warm.link->is_usable()) {
            co_return warm;
        }
    }
    if (*open_ >= capacity()) {
        co_return no_capacity("Every connection to the backend server is in use.", retry_after_full);
    }
    const auto open = open_;
    const auto context = context_;
    ++*open;
    const auto check = context->settings.verify_reply_ids ? gateway_wire::id_check::by_id
                                                       : gateway_wire::id_check::unchecked;
    auto made = co_await gateway_connection::open(limits_.url, deadline, check);
    if (!ok(made)) {
        --*open;
        co_return failure(made);
    }
    ++context->counters.connections_opened;
    ++context->counters.connections_open;
    const auto close = [open, context](gateway_connection* closed) {
        delete closed; // NOLINT(cppcoreguidelines-owning-memory)
        --*open;
        --context->counters.connections_open;
    };
    co_return taken_connection{connection(value(made).release(), close), false};
}

void gateway_pool::put_back(connection link)
{
    if (link && link->is_usable()) {
        idle_.push_back({std::move(link), clock::now()});
    }
}

// Calls over a warm connection or a new one. A warm one may have been closed by the server: what
// certainly did not run, or changes nothing, is then sent once more over a new connection.
net::awaitable<gateway_pool::outcome>
gateway_pool::call_once(pb::backend_request request, connection& kept, clock::time_point deadline)
{
    for (;;) {
        auto taken = co_await take(deadline);
        if (!ok(taken)) {
            co_return failure(taken);
        }
        kept = std::move(value(taken).link);
        outcome answered = co_await kept->call(request, deadline);
        const bool closed_before = value(taken).is_warm && is_lost(answered);
        if (closed_before) {
            kept.reset();
            idle_.clear();
        }
        settle_ran(answered, request.write() && request.operation() != pb::BACKEND_BEGIN);
        if (!closed_before || failure(answered).ran == ran::unknown) {
            co_return answered;
        }
    }
}

net::awaitable<gateway_pool::outcome> gateway_pool::execute(pb::backend_request request,
                                                            clock::time_point deadline)
{
    const fair_queue::queued_request asked = waiting_for(request, deadline);
    const auto slot = co_await slots_.acquire(asked);
    if (!ok(slot)) {
        ++context_->counters.refused;
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    connection link;
    outcome answered = co_await call_once(std::move(request), link, deadline);
    put_back(std::move(link));
    slots_.release(value(slot), clock::now() - started);
    co_return answered;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::begin(pb::backend_request request, std::uint64_t number, clock::time_point deadline)
{
    const fair_queue::queued_request asked = waiting_for(request, deadline);
    const auto place = co_await places_.acquire(asked);
    if (!ok(place)) {
        ++context_->counters.refused;
        co_return failure(place);
    }
    const clock::time_point started = clock::now();
    outcome begun = co_await begin_at_place(std::move(request), number, value(place), deadline);
    if (!ok(begun)) {
        places_.release(value(place), clock::now() - started);
    }
    co_return begun;
}

net::awaitable<gateway_pool::outcome> gateway_pool::begin_at_place(pb::backend_request request,
                                                                   std::uint64_t number,
                                                                   fair_queue::ticket place,
                                                                   clock::time_point deadline)
{
    if (context_->draining) {
        co_return instance_draining();
    }
    const fair_queue::queued_request asked = waiting_for(request, deadline);
    const auto slot = co_await slots_.acquire(asked);
    if (!ok(slot)) {
        ++context_->counters.refused;
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    connection link;
    outcome begun = co_await call_once(request, link, deadline);
    slots_.release(value(slot), clock::now() - started);
    if (!ok(begun)) {
        put_back(std::move(link));
        co_return begun;
    }
    const auto transaction = std::make_shared<pinned_transaction>();
    transaction->link = std::move(link);
    transaction->number = number;
    transaction->organisation = request.organisation();
    transaction->server_name_of_it = value(begun).transaction();
    transaction->weight = request.weight();
    transaction->write = request.write();
    transaction->place = place;
    transaction->begun_at = started;
    transaction->last_used = clock::now();
    transactions_.emplace(number, transaction);
    co_return begun;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::run_in_transaction(std::uint64_t number, pb::backend_request request, clock::time_point deadline)
{
    const auto found = transactions_.find(number);
    if (found == transactions_.end() || found->second->organisation != request.organisation()) {
        co_return transaction_not_found();
    }
    const pinned transaction = found->second;
    request.set_transaction(transaction->server_name_of_it);
    request.set_weight(transaction->weight);
    outcome answered;
    switch (request.operation()) {
    case pb::BACKEND_COMMIT:
        answered = co_await commit(transaction, std::move(request), deadline);
        break;
    case pb::BACKEND_ROLLBACK:
        answered = co_await roll_back(transaction, std::move(request), deadline);
        break;
    default:
        answered = co_await statement(transaction, std::move(request), deadline);
        break;
    }
    settle_ran(answered, transaction->write);
    co_return answered;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::statement(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_statement()) {
        co_return transaction_busy();
    }
    const fair_queue::queued_request asked = waiting_for(request, deadline);
    const auto slot = co_await slots_.acquire(asked);
    if (!ok(slot)) {
        transaction->states.finish_statement();
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    outcome answered = co_await transaction->link->call(request, deadline);
    transaction->last_used = clock::now();
    slots_.release(value(slot), transaction->last_used - started);
    if (!transaction->link->is_usable() || is_gone(answered)) {
        transaction->states.abort_transaction();
        forget(transaction);
    }
    else {
        transaction->states.finish_statement();
    }
    co_return answered;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::commit(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_completion()) {
        co_return transaction_busy();
    }
    const fair_queue::queued_request asked = waiting_for(request, deadline);
    const auto slot = co_await slots_.acquire(asked);
    if (!ok(slot)) {
        transaction->states.cancel_completion();
        transaction->last_used = clock::now();
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    outcome answered = co_await transaction->link->call(request, deadline);
    slots_.release(value(slot), clock::now() - started);
    transaction->states.finish_completion();
    if (ok(answered)) {
        put_back(std::move(transaction->link));
    }
    forget(transaction);
    co_return answered;
}

// A connection that did not answer the rollback is closed, which rolls back as well.
net::awaitable<gateway_pool::outcome>
gateway_pool::roll_back(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_completion()) {
        co_return transaction_busy();
    }
    const clock::time_point soon = std::min(deadline, clock::now() + rollback_timeout);
    outcome answered = co_await transaction->link->call(request, soon);
    transaction->states.finish_completion();
    if (ok(answered)) {
        put_back(std::move(transaction->link));
    }
    forget(transaction);
    co_return empty_reply(request);
}

void gateway_pool::forget(const pinned& transaction)
{
    transaction->link.reset();
    places_.release(transaction->place, clock::now() - transaction->begun_at);
    context_->transactions.erase(transaction->number);
    transactions_.erase(transaction->number);
}

void gateway_pool::sweep(clock::time_point now)
{
    std::erase_if(idle_, [&](const idle_connection& each) {
        return !each.link->is_usable() || now - each.since > context_->settings.connection_idle_timeout;
    });
    std::vector<pinned> abandoned;
    for (const auto& [number, transaction] : transactions_) {
        const bool unused = now - transaction->last_used > context_->settings.transaction_idle_timeout;
        const bool too_long = now - transaction->begun_at > context_->settings.max_transaction_duration;
        if ((unused || too_long) && transaction->states.state() == transaction_state::open) {
            abandoned.push_back(transaction);
        }
    }
    for (const pinned& transaction : abandoned) {
        transaction->states.abort_transaction();
        forget(transaction);
    }
}

} // namespace primrosehead
