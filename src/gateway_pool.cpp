#include "gateway_pool.h"

#include "gateway_errors.h"

#include <algorithm>
#include <utility>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr clock::duration rollback_timeout{1'000};
constexpr clock::duration exhausted_retry_delay{100};

// The old and the new owner of a server may both hold connections while ownership changes.
constexpr std::uint32_t max_concurrent_owners = 2;

fair_queue::queued_request to_queued_request(const pb::backend_request& request,
                                             clock::time_point deadline)
{
    return {organisation_name(request.organisation()), std::max(1U, request.weight()), deadline};
}

// A read has no effect, so it counts as not run whatever happened to its reply.
void mark_read_not_run(result<pb::backend_reply>& outcome, bool write)
{
    if (!ok(outcome) && !write) {
        std::get<error>(outcome).ran = ran::no;
    }
}

bool is_connection_lost(const result<pb::backend_reply>& outcome)
{
    return !ok(outcome) && failure(outcome).kind == error_kind::connection_lost;
}

bool is_unknown_transaction(const result<pb::backend_reply>& outcome)
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
      statement_queue_(strand_, limits_.slots, context_->counters.queued),
      transaction_queue_(strand_, transaction_slots(), context_->counters.queued)
{
}

std::uint32_t gateway_pool::capacity() const noexcept
{
    return std::max<std::uint32_t>(1, limits_.connection_limit / max_concurrent_owners);
}

std::uint32_t gateway_pool::transaction_slots() const noexcept
{
    const std::uint32_t reserved_for_statements = std::min(limits_.slots, capacity() - 1);
    return std::max<std::uint32_t>(1, capacity() - reserved_for_statements);
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
    statement_queue_.resize(limits_.slots);
    transaction_queue_.resize(transaction_slots());
}

net::awaitable<result<gateway_pool::acquired_connection>>
gateway_pool::acquire_connection(clock::time_point deadline)
{
    while (!idle_.empty()) {
        acquired_connection reused{std::move(idle_.back().connection), true};
        idle_.pop_back();
        if (reused.connection->is_usable()) {
            co_return reused;
        }
    }
    if (*open_ >= capacity()) {
        co_return no_capacity("Every connection to the backend server is in use.",
                              exhausted_retry_delay);
    }
    const auto open = open_;
    const auto context = context_;
    ++*open;
    const auto check = context->settings.verify_reply_ids ? gateway_wire::id_check::by_id
                                                          : gateway_wire::id_check::unchecked;
    auto opened = co_await gateway_connection::open(limits_.url, deadline, check);
    if (!ok(opened)) {
        --*open;
        co_return failure(opened);
    }
    ++context->counters.connections_opened;
    ++context->counters.connections_open;
    const auto close = [open, context](gateway_connection* closed) {
        delete closed; // NOLINT(cppcoreguidelines-owning-memory)
        --*open;
        --context->counters.connections_open;
    };
    co_return acquired_connection{connection_ptr(value(opened).release(), close), false};
}

void gateway_pool::release_connection(connection_ptr connection)
{
    if (connection && connection->is_usable()) {
        idle_.push_back({std::move(connection), clock::now()});
    }
}

// Calls over an idle connection or a new one. The server may have closed an idle connection: a
// request that certainly did not run, or is a read, is then resent over a new connection.
net::awaitable<gateway_pool::outcome> gateway_pool::call_with_resend(pb::backend_request request,
                                                                     connection_ptr& used,
                                                                     clock::time_point deadline)
{
    for (;;) {
        auto acquired = co_await acquire_connection(deadline);
        if (!ok(acquired)) {
            co_return failure(acquired);
        }
        used = std::move(value(acquired).connection);
        outcome reply = co_await used->call(request, deadline);
        const bool was_closed = value(acquired).is_reused && is_connection_lost(reply);
        if (was_closed) {
            used.reset();
            idle_.clear();
        }
        mark_read_not_run(reply, request.write() && request.operation() != pb::BACKEND_BEGIN);
        if (!was_closed || failure(reply).ran == ran::unknown) {
            co_return reply;
        }
    }
}

net::awaitable<gateway_pool::outcome> gateway_pool::execute(pb::backend_request request,
                                                            clock::time_point deadline)
{
    const fair_queue::queued_request queue_entry = to_queued_request(request, deadline);
    const auto slot = co_await statement_queue_.acquire(queue_entry);
    if (!ok(slot)) {
        ++context_->counters.refused;
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    connection_ptr connection;
    outcome reply = co_await call_with_resend(std::move(request), connection, deadline);
    release_connection(std::move(connection));
    statement_queue_.release(value(slot), clock::now() - started);
    co_return reply;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::begin(pb::backend_request request, std::uint64_t number, clock::time_point deadline)
{
    const fair_queue::queued_request queue_entry = to_queued_request(request, deadline);
    const auto ticket = co_await transaction_queue_.acquire(queue_entry);
    if (!ok(ticket)) {
        ++context_->counters.refused;
        co_return failure(ticket);
    }
    const clock::time_point started = clock::now();
    outcome reply = co_await begin_admitted(std::move(request), number, value(ticket), deadline);
    if (!ok(reply)) {
        transaction_queue_.release(value(ticket), clock::now() - started);
    }
    co_return reply;
}

net::awaitable<gateway_pool::outcome> gateway_pool::begin_admitted(pb::backend_request request,
                                                                   std::uint64_t number,
                                                                   fair_queue::ticket ticket,
                                                                   clock::time_point deadline)
{
    if (context_->draining) {
        co_return instance_draining();
    }
    const fair_queue::queued_request queue_entry = to_queued_request(request, deadline);
    const auto slot = co_await statement_queue_.acquire(queue_entry);
    if (!ok(slot)) {
        ++context_->counters.refused;
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    connection_ptr connection;
    outcome reply = co_await call_with_resend(request, connection, deadline);
    statement_queue_.release(value(slot), clock::now() - started);
    if (!ok(reply)) {
        release_connection(std::move(connection));
        co_return reply;
    }
    const auto transaction = std::make_shared<pinned_transaction>();
    transaction->connection = std::move(connection);
    transaction->number = number;
    transaction->organisation = request.organisation();
    transaction->server_transaction_id = value(reply).transaction();
    transaction->weight = request.weight();
    transaction->write = request.write();
    transaction->ticket = ticket;
    transaction->begun_at = started;
    transaction->last_used = clock::now();
    transactions_.emplace(number, transaction);
    co_return reply;
}

net::awaitable<gateway_pool::outcome> gateway_pool::run_in_transaction(std::uint64_t number,
                                                                       pb::backend_request request,
                                                                       clock::time_point deadline)
{
    const auto found = transactions_.find(number);
    if (found == transactions_.end() || found->second->organisation != request.organisation()) {
        co_return transaction_not_found();
    }
    const pinned transaction = found->second;
    request.set_transaction(transaction->server_transaction_id);
    request.set_weight(transaction->weight);
    outcome reply;
    switch (request.operation()) {
    case pb::BACKEND_COMMIT:
        reply = co_await commit(transaction, std::move(request), deadline);
        break;
    case pb::BACKEND_ROLLBACK:
        reply = co_await roll_back(transaction, std::move(request), deadline);
        break;
    default:
        reply = co_await statement(transaction, std::move(request), deadline);
        break;
    }
    mark_read_not_run(reply, transaction->write);
    co_return reply;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::statement(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_statement()) {
        co_return transaction_busy();
    }
    const fair_queue::queued_request queue_entry = to_queued_request(request, deadline);
    const auto slot = co_await statement_queue_.acquire(queue_entry);
    if (!ok(slot)) {
        transaction->states.finish_statement();
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    outcome reply = co_await transaction->connection->call(request, deadline);
    transaction->last_used = clock::now();
    statement_queue_.release(value(slot), transaction->last_used - started);
    if (!transaction->connection->is_usable() || is_unknown_transaction(reply)) {
        transaction->states.abort_transaction();
        remove_transaction(transaction);
    }
    else {
        transaction->states.finish_statement();
    }
    co_return reply;
}

net::awaitable<gateway_pool::outcome>
gateway_pool::commit(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_completion()) {
        co_return transaction_busy();
    }
    const fair_queue::queued_request queue_entry = to_queued_request(request, deadline);
    const auto slot = co_await statement_queue_.acquire(queue_entry);
    if (!ok(slot)) {
        transaction->states.cancel_completion();
        transaction->last_used = clock::now();
        co_return failure(slot);
    }
    const clock::time_point started = clock::now();
    outcome reply = co_await transaction->connection->call(request, deadline);
    statement_queue_.release(value(slot), clock::now() - started);
    transaction->states.finish_completion();
    if (ok(reply)) {
        release_connection(std::move(transaction->connection));
    }
    remove_transaction(transaction);
    co_return reply;
}

// A connection without a reply to the rollback is closed, which rolls the transaction back as well.
net::awaitable<gateway_pool::outcome>
gateway_pool::roll_back(pinned transaction, pb::backend_request request, clock::time_point deadline)
{
    if (!transaction->states.begin_completion()) {
        co_return transaction_busy();
    }
    const clock::time_point rollback_deadline = std::min(deadline, clock::now() + rollback_timeout);
    outcome reply = co_await transaction->connection->call(request, rollback_deadline);
    transaction->states.finish_completion();
    if (ok(reply)) {
        release_connection(std::move(transaction->connection));
    }
    remove_transaction(transaction);
    co_return empty_reply(request);
}

void gateway_pool::remove_transaction(const pinned& transaction)
{
    transaction->connection.reset();
    transaction_queue_.release(transaction->ticket, clock::now() - transaction->begun_at);
    context_->transactions.erase(transaction->number);
    transactions_.erase(transaction->number);
}

void gateway_pool::sweep(clock::time_point now)
{
    std::erase_if(idle_, [&](const idle_connection& each) {
        return !each.connection->is_usable() ||
               now - each.since > context_->settings.connection_idle_timeout;
    });
    std::vector<pinned> abandoned;
    for (const auto& [number, transaction] : transactions_) {
        const bool is_idle =
            now - transaction->last_used > context_->settings.transaction_idle_timeout;
        const bool is_expired =
            now - transaction->begun_at > context_->settings.max_transaction_duration;
        if ((is_idle || is_expired) && transaction->states.state() == transaction_state::open) {
            abandoned.push_back(transaction);
        }
    }
    for (const pinned& transaction : abandoned) {
        transaction->states.abort_transaction();
        remove_transaction(transaction);
    }
}

} // namespace primrosehead
