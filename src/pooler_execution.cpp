#include "pooler_execution.h"

#include "clock_timer.h"
#include "event_log.h"
#include "pooler_access.h"
#include "pooler_cause.h"
#include "pooler_metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

// A read that a replica does not answer in time is retried elsewhere. The timeout is the greater of
// this and a multiple of the server's expected latency.
constexpr clock::duration replica_read_timeout{250};
constexpr double replica_read_timeout_factor = 6;
// Session values, PREPARE and BEGIN take no statement slot, so only a server that is down or
// unreachable exceeds this.
constexpr clock::duration begin_timeout{400};
// Delay between attempts at a server whose queue is full.
constexpr clock::duration busy_retry_delay{10};
// A home that holds all the connections it may waits this long for one; the statement occupies one
// of the server's slots in the home's queue meanwhile.
constexpr clock::duration home_connection_wait{50};
// Retry hints to clients: time for a change of primary, and for connections to become free.
constexpr clock::duration primary_retry_after{500};
constexpr clock::duration saturated_retry_after{100};
// Shortens the staleness bound, because a position is observed some time after it was requested.
constexpr clock::duration freshness_margin{10};

double elapsed_ms(clock::time_point start, clock::time_point now)
{
    return static_cast<double>((now - start).count());
}

std::span<const line_answer> setup_answers(const line_exchange& result, const setup_queries& setup)
{
    return std::span(result.answers).first(setup.count);
}

// True if the connection may be used again: it reports no open or failed transaction, and the
// server has what was prepared on it.
bool is_reusable(const line_exchange& result, const line_dialect& dialect)
{
    return result.is_complete() && result.answers.back().state == session_state::idle &&
           std::none_of(result.answers.begin(), result.answers.end(), [&](const auto& each) {
               return each.is_error && each.code == dialect.unknown_statement;
           });
}

net::awaitable<void> sleep_for(net::any_io_executor executor, clock::duration time)
{
    net::steady_timer timer(executor, time);
    co_await timer.async_wait(no_throw);
}

// An error that the caller's statement caused counts as done.
admission::outcome outcome_of(const line_exchange& result, const line_dialect& dialect)
{
    if (!result.is_complete()) {
        return result.has_timed_out ? admission::outcome::silent : admission::outcome::failed;
    }
    for (const line_answer& answer : result.answers) {
        if (answer.is_error && answer.code == dialect.busy) {
            return admission::outcome::busy;
        }
        if (answer.is_error && answer.code == dialect.statement_failed) {
            return admission::outcome::failed;
        }
    }
    return admission::outcome::done;
}

} // namespace

// Acquires a transaction's connection while the client prepares its first statement. Works on a
// copy of the session state, because the client may change the original in the meantime.
struct execution::connection_prefetch {
    connection_prefetch(context& ctx, const session_context& state)
        : opener(ctx, session), finished(ctx.executor)
    {
        session.values = state.values;
        session.last_commit = state.last_commit;
        session.last_commit_at = state.last_commit_at;
    }
    session_context session;
    execution opener;
    net::steady_timer finished; // cancelled on completion
    bool is_finished = false;
};

execution::~execution()
{
    roll_back();
}

line_answer execution::make_refusal(acquire_error reason, const operation& op) const
{
    switch (reason) {
    case acquire_error::no_primary:
        return make_error_answer(
            answer_cause::no_primary, context_.dialect.busy,
            fmt::format("{}: group {} has no reachable primary; retry after {} ms", claim(),
                        op.route->group, primary_retry_after.count()));
    case acquire_error::no_server:
        return make_error_answer(
            answer_cause::no_server, context_.dialect.busy,
            fmt::format("{}: no server of group {} is available; retry after {} ms", claim(),
                        op.route->group, primary_retry_after.count()));
    case acquire_error::outside_regions:
        return make_error_answer(
            answer_cause::region, context_.dialect.busy,
            fmt::format("{}: no server of group {} that could run it is inside the allowed "
                        "regions; retry after {} ms",
                        claim(), op.route->group, primary_retry_after.count()));
    case acquire_error::saturated:
    case acquire_error::none:
        break;
    }
    return make_error_answer(
        answer_cause::crowded, context_.dialect.busy,
        fmt::format("{}: the servers of group {} are saturated; retry after {} ms", claim(),
                    op.route->group, saturated_retry_after.count()));
}

line_answer execution::make_connection_failure() const
{
    return make_error_answer(
        answer_cause::server_silent, context_.dialect.aborted,
        "rolled back: the connection to the server failed; retry the transaction");
}

void execution::record_retry(const operation& op, const server_statement& statement,
                             std::string_view server, std::string_view reason)
{
    context_.metrics.record_retry();
    context_.events.detail("route", "retry")
        .field("id", statement.id)
        .field("route", op.route->name)
        .field("server", server)
        .field("reason", reason)
        .field("attempt", static_cast<std::int64_t>(attempts_));
}

connection_request execution::make_request(const operation& op, required_role role,
                                           clock::time_point deadline) const
{
    connection_request request;
    request.group = op.route->group;
    request.organisation = op.organisation;
    request.role = role;
    request.priority = op.route->priority;
    if (!pinned_) { // the origin has applied the regions
        request.regions = op.snapshot->regions_for(*op.route, op.organisation);
        request.share = may_use_home(op) ? warm_up_share::beside_home : warm_up_share::instance;
    }
    request.values = &session_.values;
    request.excluded_servers = excluded_servers_;
    const clock::time_point now = clock::now();
    request.deadline = std::min(deadline, budget_.deadline(has_reached_server_, now));
    request.outage_deadline = std::min(deadline, budget_.outage_deadline());
    if (pinned_) {
        request.pinned_server = pinned_->id;
        request.share = warm_up_share::home;
        request.deadline = std::min(deadline, now + home_connection_wait);
        request.outage_deadline = request.deadline;
    }
    return request;
}

// Returns the log position that a read must see; none if only the primary can serve it.
std::optional<log_position> execution::minimum_position(const operation& op, clock::time_point now)
{
    if (pinned_) {
        return pinned_->minimum;
    }
    const document_route& route = *op.route;
    if (route.consistency == route_consistency::latest || prefers_primary_) {
        return std::nullopt;
    }
    const freshness_tracker& positions = context_.connections.freshness_of(route.group);
    const std::optional<log_position> minimum =
        positions.position_covering(now - route.max_staleness + freshness_margin);
    if (!minimum || route.consistency != route_consistency::read_your_writes ||
        !session_.last_commit) {
        return minimum;
    }
    if (session_.last_commit->term >= positions.newest_term()) {
        return std::max(*minimum, *session_.last_commit);
    }
    // The commit survived the change of primary, but its position in the old primary's log may not
    // exist any more.
    const std::optional<log_position> own = positions.position_covering(session_.last_commit_at);
    return own ? std::optional(std::max(*minimum, *own)) : std::nullopt;
}

net::awaitable<line_exchange> execution::exchange(pooled_connection& connection,
                                                  const std::string& queries, std::size_t count,
                                                  clock::time_point deadline,
                                                  std::optional<session_state> last_state)
{
    const clock::time_point sent_at = clock::now();
    line_exchange result = co_await connection.link->exchange(queries, count, deadline, last_state);
    const clock::time_point now = clock::now();
    context_.metrics.record_phase(statement_phase::server, now - sent_at);
    connection.server->record_exchange(static_cast<std::uint32_t>(count),
                                       outcome_of(result, context_.dialect), sent_at, now);
    co_return result;
}

net::awaitable<line_exchange> execution::exchange_statement(pooled_connection& connection,
                                                            const std::string& query,
                                                            session_state state_after_success,
                                                            clock::time_point deadline)
{
    line_exchange result = co_await exchange(connection, query, 1, deadline);
    if (result.is_complete() && !result.answers.front().can_answer_statement(state_after_success)) {
        result.answers.clear();
        result.is_broken = true;
    }
    co_return result;
}

net::awaitable<acquire_result> execution::acquire(connection_request& request)
{
    const clock::time_point asked_at = clock::now();
    acquire_result acquired = co_await context_.connections.acquire(request);
    const clock::duration wait_time = clock::now() - asked_at;
    connection_wait_ += wait_time;
    context_.metrics.record_phase(statement_phase::connection, wait_time);
    has_reached_server_ = has_reached_server_ || acquired.connection != nullptr;
    co_return acquired;
}

void execution::record_commit(const line_answer& answer, pooled_server& server,
                              clock::time_point sent_at)
{
    const clock::time_point now = clock::now();
    primary_tracker& primary = context_.connections.primary_of(server.group);
    if (answer.position) {
        session_.last_commit = answer.position;
        session_.last_commit_at = now;
        primary.record_primary(server.id, now);
        context_.connections.freshness_of(server.group)
            .record(server.id, *answer.position, sent_at);
    }
    primary.record_write_success(now);
    server.record_success();
}

// The server refused part of the setup, so that what was sent behind it counts as not run. Another
// server may accept it, unless the session's own text is at fault.
execution::attempt_result execution::refuse_unprepared(const pooled_server& server,
                                                       std::span<const line_answer> setup)
{
    const line_dialect& dialect = context_.dialect;
    const auto refused = std::find_if(setup.begin(), setup.end(),
                                      [](const line_answer& each) { return each.is_error; });
    const std::string_view code =
        refused != setup.end() ? refused->code : std::string_view("unexpected session state");
    const std::string text =
        fmt::format("not run: server {} did not accept the session's values or prepared statement "
                    "({})",
                    server.id, code);
    excluded_servers_.push_back(server.id);
    if (code == dialect.malformed) {
        return {next_step::finish, make_error_answer(answer_cause::setup, code, text),
                server_contact::refused};
    }
    return {next_step::retry,
            make_error_answer(
                answer_cause::setup, dialect.busy,
                fmt::format("{}; retry after {} ms", text, saturated_retry_after.count())),
            server_contact::refused};
}

// Returns the answer to a statement whose BEGIN failed. Only codes that say that nothing has run
// are passed on: others would be taken for the outcome of the statement.
line_answer execution::refuse_to_begin(line_answer answer) const
{
    const line_dialect& dialect = context_.dialect;
    if (answer.code == dialect.busy || answer.code == dialect.behind ||
        answer.code == dialect.read_only || answer.code == dialect.wrong_server) {
        return answer;
    }
    return make_error_answer(
        answer_cause::setup, dialect.busy,
        fmt::format("not run: the server did not begin a transaction ({}); retry after {} ms",
                    answer.code, saturated_retry_after.count()));
}

// The server answered a BEGIN with a success outside a transaction, so that the connection's
// answers are not those of its queries.
execution::attempt_result execution::refuse_unbegun(const pooled_server& server)
{
    excluded_servers_.push_back(server.id);
    return {next_step::retry,
            make_error_answer(
                answer_cause::server_silent, context_.dialect.busy,
                fmt::format("not run: server {} reported no transaction behind BEGIN", server.id)),
            server_contact::refused};
}

// A server runs what follows a refused query all the same, so that no statement of a caller goes
// out before the answers are there.
net::awaitable<std::optional<execution::attempt_result>>
execution::set_up(pooled_connection& connection, const setup_queries& setup,
                  const prepared_statement* needed, bool in_transaction, clock::time_point deadline)
{
    pooled_server& server = *connection.server;
    const clock::time_point sent_at = clock::now();
    const line_exchange result = co_await connection.link->exchange(
        setup.queries, setup.count, std::min(deadline, sent_at + begin_timeout));
    const clock::time_point now = clock::now();
    connection_wait_ += now - sent_at;
    if (!result.is_complete()) {
        context_.connections.record_unanswered(server, result.has_timed_out, sent_at, now);
        excluded_servers_.push_back(server.id);
        co_return attempt_result{
            next_step::retry,
            make_error_answer(answer_cause::server_silent, context_.dialect.busy,
                              "not run: the server did not answer to the session's values"),
            server_contact::none};
    }
    const session_state state =
        in_transaction ? session_state::in_transaction : session_state::idle;
    if (!all_succeeded(result.answers, setup.count, state)) {
        co_return refuse_unprepared(server, result.answers);
    }
    record_setup(connection, session_, needed, in_transaction);
    co_return std::nullopt;
}

// Checks what may have changed while a single statement's connection was made ready.
std::optional<execution::attempt_result>
execution::check_single(const operation& op, const pooled_server& server, bool needs_primary) const
{
    std::optional<line_answer> refusal = check_right(context_, op);
    if (refusal) {
        return attempt_result{next_step::finish, std::move(*refusal), server_contact::none};
    }
    if (context_.connections.may_begin_at(server, clock::now())) {
        return std::nullopt;
    }
    return attempt_result{
        next_step::retry,
        make_refusal(needs_primary ? acquire_error::no_primary : acquire_error::no_server, op),
        server_contact::none};
}

// The unknown name is the pool's, so that the server's answer tells the caller nothing.
line_answer execution::refuse_unknown_statement(const pooled_server& server) const
{
    return make_error_answer(
        answer_cause::setup, context_.dialect.busy,
        fmt::format("not run: server {} has lost the prepared statement; retry after {} ms",
                    server.id, saturated_retry_after.count()));
}

// Decides whether a read is retried. Reads have no side effects, so repeating one is safe.
execution::attempt_result execution::classify_read(pooled_server& server, line_answer answer)
{
    const line_dialect& dialect = context_.dialect;
    const clock::time_point now = clock::now();
    if (!answer.is_error) {
        server.record_success();
        server.lag_count = 0;
        return {next_step::finish, std::move(answer)};
    }
    if (answer.code == dialect.behind) {
        server.record_lag(now);
        prefers_primary_ = true;
        return {next_step::retry, std::move(answer)};
    }
    if (answer.code == dialect.busy || answer.code == dialect.statement_failed) {
        excluded_servers_.push_back(server.id);
        return {next_step::retry, std::move(answer)};
    }
    if (answer.code == dialect.unknown_statement) {
        return {next_step::retry, refuse_unknown_statement(server)};
    }
    const bool is_transient =
        answer.code == dialect.wrong_server || answer.code == dialect.read_only;
    return {is_transient ? next_step::retry : next_step::finish, std::move(answer)};
}

// Begins a read-write transaction, which only a primary accepts. Returns false and sets `outcome`
// if this failed.
net::awaitable<bool> execution::begin_at_primary(pooled_connection& connection,
                                                 const setup_queries& setup,
                                                 const server_statement& statement,
                                                 clock::time_point deadline,
                                                 attempt_result& outcome)
{
    pooled_server& server = *connection.server;
    const clock::time_point asked_at = clock::now();
    const std::string queries =
        fmt::format("{}{} - {}\r\n", setup.queries, context_.dialect.query, context_.dialect.begin);
    const clock::time_point attempt_deadline = std::min(deadline, asked_at + begin_timeout);
    line_exchange result =
        co_await exchange(connection, queries, setup.count + 1, attempt_deadline);
    const clock::time_point now = clock::now();
    if (!result.is_complete()) {
        context_.connections.record_unanswered(server, result.has_timed_out, asked_at, now);
        outcome = {next_step::retry,
                   make_error_answer(answer_cause::server_silent, context_.dialect.busy,
                                     "not run: the primary did not begin a transaction"),
                   server_contact::none};
        co_return false;
    }
    if (!all_succeeded(result.answers, setup.count, session_state::idle)) {
        outcome = refuse_unprepared(server, setup_answers(result, setup));
        co_return false;
    }
    line_answer& answer = result.answers.back();
    if (answer.is_error) {
        if (answer.code == context_.dialect.read_only) {
            context_.connections.primary_of(server.group).record_refusal(server.id, now);
        }
        outcome = {next_step::retry, refuse_to_begin(std::move(answer)), server_contact::refused};
        co_return false;
    }
    if (!answer.is_in_transaction()) {
        outcome = refuse_unbegun(server);
        co_return false;
    }
    record_setup(connection, session_, statement.prepared, false);
    if (answer.position) {
        context_.connections.primary_of(server.group).record_primary(server.id, now);
        context_.connections.freshness_of(server.group)
            .record(server.id, *answer.position, asked_at);
    }
    co_return true;
}

net::awaitable<execution::attempt_result>
execution::read_at_primary(std::unique_ptr<pooled_connection> connection, const operation& op,
                           const server_statement& statement, clock::time_point deadline)
{
    const std::shared_ptr<pooled_server> server = connection->server;
    const setup_queries setup =
        make_setup_queries(*connection, session_, statement.prepared, false, context_.dialect);
    attempt_result outcome;
    const bool has_begun =
        co_await begin_at_primary(*connection, setup, statement, deadline, outcome);
    if (!has_begun) {
        context_.connections.release(std::move(connection), false);
        co_return outcome;
    }
    if (std::optional<attempt_result> refusal = check_single(op, *server, true)) {
        context_.connections.release(std::move(connection), false);
        co_return std::move(*refusal);
    }
    const std::string queries =
        fmt::format("{0} {1} {2}\r\n{0} - {3}\r\n", context_.dialect.query, statement.id,
                    statement.text, context_.dialect.rollback);
    const clock::time_point sent_at = clock::now();
    context_.connections.log_use(*server, sent_at);
    context_.connections.record_start(*server);
    line_exchange result =
        co_await exchange(*connection, queries, 2, deadline, session_state::idle);
    const clock::time_point now = clock::now();
    context_.connections.record_finish(*server, elapsed_ms(sent_at, now), now);
    const bool is_clean = is_reusable(result, context_.dialect) && !result.answers.back().is_error;
    context_.connections.release(std::move(connection), is_clean);
    if (result.answer_before_rollback() == nullptr) {
        if (result.answers.empty()) {
            context_.connections.record_unanswered(*server, result.has_timed_out, sent_at, now);
        }
        co_return attempt_result{next_step::retry,
                                 make_error_answer(answer_cause::server_silent,
                                                   context_.dialect.timed_out,
                                                   "the primary did not answer in time"),
                                 server_contact::lost};
    }
    co_return classify_read(*server, std::move(result.answers.front()));
}

net::awaitable<execution::attempt_result>
execution::read_at_replica(std::unique_ptr<pooled_connection> connection,
                           const server_statement& statement, log_position minimum,
                           clock::time_point deadline)
{
    const std::shared_ptr<pooled_server> server = connection->server;
    const std::string query =
        fmt::format("{} {} {} {} {}\r\n", context_.dialect.query, statement.id,
                    context_.dialect.after, format_position(minimum), statement.text);
    const clock::time_point sent_at = clock::now();
    const auto latency_timeout_ms = static_cast<std::int64_t>(server->expected_latency_ms(sent_at) *
                                                              replica_read_timeout_factor);
    const clock::time_point attempt_deadline = std::min(
        deadline, sent_at + std::max(replica_read_timeout, clock::duration(latency_timeout_ms)));
    context_.connections.record_start(*server);
    line_exchange result =
        co_await exchange_statement(*connection, query, session_state::idle, attempt_deadline);
    const clock::time_point now = clock::now();
    context_.connections.record_finish(*server, elapsed_ms(sent_at, now), now);
    context_.connections.release(std::move(connection), is_reusable(result, context_.dialect));
    if (!result.is_complete()) {
        context_.connections.record_unanswered(*server, result.has_timed_out, sent_at, now);
        excluded_servers_.push_back(server->id);
        co_return attempt_result{next_step::retry,
                                 make_error_answer(answer_cause::server_silent,
                                                   context_.dialect.timed_out,
                                                   "the server did not answer in time"),
                                 server_contact::lost};
    }
    co_return classify_read(*server, std::move(result.answers.front()));
}

// Decides whether a write is retried: only if it certainly did not run.
execution::attempt_result execution::classify_write(pooled_server& server, line_answer answer,
                                                    clock::time_point sent_at)
{
    const line_dialect& dialect = context_.dialect;
    if (!answer.is_error) {
        record_commit(answer, server, sent_at);
        return {next_step::finish, std::move(answer)};
    }
    primary_tracker& primary = context_.connections.primary_of(server.group);
    if (answer.code == dialect.read_only) {
        primary.record_refusal(server.id, clock::now());
        return {next_step::retry, std::move(answer)};
    }
    if (answer.code == dialect.unknown_statement) {
        return {next_step::retry, refuse_unknown_statement(server)};
    }
    if (answer.code == dialect.timed_out) {
        primary.record_write_failure(sent_at);
    }
    const bool has_not_run = answer.code == dialect.busy || answer.code == dialect.wrong_server;
    return {has_not_run ? next_step::retry : next_step::finish, std::move(answer)};
}

net::awaitable<execution::attempt_result>
execution::write_at_primary(std::unique_ptr<pooled_connection> connection,
                            const server_statement& statement, clock::time_point deadline)
{
    const line_dialect& dialect = context_.dialect;
    const std::shared_ptr<pooled_server> server = connection->server;
    const std::string query =
        fmt::format("{} {} {}\r\n", dialect.query, statement.id, statement.text);
    const clock::time_point sent_at = clock::now();
    context_.connections.log_use(*server, sent_at);
    context_.connections.record_start(*server);
    line_exchange result =
        co_await exchange_statement(*connection, query, session_state::idle, deadline);
    const clock::time_point now = clock::now();
    context_.connections.record_finish(*server, elapsed_ms(sent_at, now), now);
    context_.connections.release(std::move(connection), is_reusable(result, context_.dialect));
    if (result.is_unsent) {
        co_return attempt_result{next_step::retry,
                                 make_error_answer(answer_cause::server_silent, dialect.busy,
                                                   "not run: the connection to the server failed"),
                                 server_contact::none};
    }
    if (!result.is_complete()) {
        context_.connections.record_unanswered(*server, result.has_timed_out, sent_at, now);
        context_.connections.primary_of(server->group).record_write_failure(sent_at);
        co_return attempt_result{
            next_step::finish,
            make_error_answer(answer_cause::server_silent, dialect.unknown_outcome,
                              "the primary did not answer; the write may have taken effect"),
            server_contact::lost};
    }
    co_return classify_write(*server, std::move(result.answers.front()), sent_at);
}

net::awaitable<execution::attempt_result>
execution::run_on(std::unique_ptr<pooled_connection> connection, const operation& op,
                  const server_statement& statement, std::optional<log_position> minimum,
                  clock::time_point deadline)
{
    const bool needs_primary = !minimum;
    if (needs_primary && !statement.is_write) {
        co_return co_await read_at_primary(std::move(connection), op, statement, deadline);
    }
    const setup_queries setup =
        make_setup_queries(*connection, session_, statement.prepared, false, context_.dialect);
    if (setup.count > 0) {
        std::optional<attempt_result> refusal =
            co_await set_up(*connection, setup, statement.prepared, false, deadline);
        const bool is_prepared = !refusal;
        if (is_prepared) {
            refusal = check_single(op, *connection->server, needs_primary);
        }
        if (refusal) {
            context_.connections.release(std::move(connection), is_prepared);
            co_return std::move(*refusal);
        }
    }
    if (statement.is_write) {
        co_return co_await write_at_primary(std::move(connection), statement, deadline);
    }
    co_return co_await read_at_replica(std::move(connection), statement, *minimum, deadline);
}

net::awaitable<line_answer> execution::run_pinned(const operation& op,
                                                  const server_statement& statement,
                                                  clock::time_point deadline)
{
    const std::optional<log_position> minimum = pinned_->minimum;
    connection_request request =
        make_request(op, minimum ? required_role::any : required_role::primary, deadline);
    acquire_result acquired = co_await acquire(request);
    if (!acquired.connection) {
        contact_ = acquired.error == acquire_error::saturated ? server_contact::saturated
                                                              : server_contact::none;
        co_return make_refusal(acquired.error, op);
    }
    attempt_result result =
        co_await run_on(std::move(acquired.connection), op, statement, minimum, deadline);
    contact_ = result.contact;
    co_return std::move(result.answer);
}

net::awaitable<line_answer> execution::run_single(const operation& op,
                                                  const server_statement& statement)
{
    const clock::time_point deadline = op.began_at + op.route->statement_timeout;
    excluded_servers_.clear();
    prefers_primary_ = false;
    last_home_.clear();
    attempt_result last{next_step::retry, make_refusal(acquire_error::saturated, op)};
    connection_wait_ = clock::duration(0);
    has_reached_server_ = false;
    has_lost_answer_ = false;
    budget_ = wait_budget(op.began_at, clock::now(), op.route->latency_objective,
                          op.route->statement_timeout);
    for (attempts_ = 1; attempts_ <= max_attempts && clock::now() < deadline; ++attempts_) {
        const std::optional<log_position> minimum =
            statement.is_write ? std::nullopt : minimum_position(op, clock::now());
        if (may_use_home(op)) {
            std::optional<line_answer> refusal = check_right(context_, op);
            if (refusal) {
                co_return std::move(*refusal);
            }
            std::optional<attempt_result> at_home =
                co_await run_at_home(op, statement, minimum, deadline);
            if (at_home) {
                last = std::move(*at_home);
                if (last.next == next_step::finish) {
                    break;
                }
                record_retry(op, statement, last_server_, last.answer.code);
                const bool is_full = last.answer.cause == answer_cause::server &&
                                     last.answer.code == context_.dialect.busy;
                if (is_full) {
                    co_await sleep_for(context_.executor, busy_retry_delay);
                }
                continue;
            }
        }
        connection_request request =
            make_request(op, minimum ? required_role::any : required_role::primary, deadline);
        acquire_result acquired = co_await acquire(request);
        if (!acquired.connection) {
            if (minimum && acquired.error == acquire_error::no_server) {
                prefers_primary_ = true;
                continue;
            }
            co_return make_refusal(acquired.error, op);
        }
        last_server_ = acquired.connection->server->id;
        std::optional<line_answer> refusal = check_right(context_, op); // it may have waited
        if (refusal) {
            context_.connections.release(std::move(acquired.connection), true);
            co_return std::move(*refusal);
        }
        last = co_await run_on(std::move(acquired.connection), op, statement, minimum, deadline);
        has_lost_answer_ = has_lost_answer_ || last.contact == server_contact::lost;
        if (last.next == next_step::finish) {
            break;
        }
        record_retry(op, statement, last_server_, last.answer.code);
        if (last.answer.code == context_.dialect.busy) {
            co_await sleep_for(context_.executor, busy_retry_delay);
        }
    }
    co_return std::move(last.answer);
}

void execution::begin(const operation& op, bool read_only)
{
    transaction_ = op;
    is_open_ = true;
    is_read_only_ = read_only;
    has_begun_ = false;
    has_written_ = false;
    has_reached_server_ = false;
    has_lost_answer_ = false;
    excluded_servers_.clear();
    prefers_primary_ = false;
    last_home_.clear();
    if (may_use_home(op) || context_.connections.has_waiting_requests(op.route->group)) {
        return; // don't hold an unused connection while others wait for one
    }
    prefetch_ = std::make_shared<connection_prefetch>(context_, session_);
    execution& opener = prefetch_->opener;
    opener.transaction_ = op;
    opener.is_read_only_ = read_only;
    net::co_spawn(context_.executor, run_prefetch(prefetch_), net::detached);
}

void execution::begin_pinned(const operation& op, bool read_only)
{
    transaction_ = op;
    is_open_ = true;
    is_read_only_ = read_only;
    has_begun_ = false;
}

net::awaitable<void> execution::run_prefetch(std::shared_ptr<connection_prefetch> prefetch)
{
    // A failure is not final: the first statement retries.
    server_statement none;
    none.id = "-";
    co_await prefetch->opener.open_transaction(none, clock::now());
    prefetch->is_finished = true;
    prefetch->finished.cancel();
}

// Waits for the prefetch that `begin` started and takes over its connection.
net::awaitable<void> execution::await_prefetch()
{
    const std::shared_ptr<connection_prefetch> prefetch = std::exchange(prefetch_, nullptr);
    if (!prefetch) {
        co_return;
    }
    const clock::time_point asked_at = clock::now();
    if (!prefetch->is_finished) {
        prefetch->finished.expires_at(net::steady_timer::time_point::max());
        co_await prefetch->finished.async_wait(no_throw);
    }
    connection_wait_ += clock::now() - asked_at;
    execution& opener = prefetch->opener;
    connection_ = std::move(opener.connection_);
    if (connection_ && !context_.connections.may_begin_at(*connection_->server, clock::now())) {
        context_.connections.release(std::move(connection_), false); // no statement has run
    }
    attempts_ = opener.attempts_;
    last_server_ = opener.last_server_;
    has_reached_server_ = opener.has_reached_server_;
}

// Ensures that the transaction has a connection. Returns the error answer if none was obtained.
net::awaitable<std::optional<line_answer>>
execution::ensure_connection(const server_statement& first)
{
    const clock::time_point received_at = clock::now();
    co_await await_prefetch();
    if (connection_) {
        co_return std::nullopt;
    }
    co_return co_await open_transaction(first, received_at);
}

net::awaitable<execution::attempt_result>
execution::begin_on(std::unique_ptr<pooled_connection> connection, const server_statement& first,
                    std::optional<log_position> minimum, clock::time_point deadline)
{
    const line_dialect& dialect = context_.dialect;
    const std::shared_ptr<pooled_server> server = connection->server;
    const setup_queries setup =
        make_setup_queries(*connection, session_, first.prepared, false, dialect);
    attempt_result outcome;
    if (!minimum) {
        const bool has_begun =
            co_await begin_at_primary(*connection, setup, first, deadline, outcome);
        if (has_begun) {
            connection_ = std::move(connection);
        }
        else {
            context_.connections.release(std::move(connection), false);
        }
        co_return outcome;
    }
    const std::string queries =
        fmt::format("{}{} - {} {} {} {}\r\n", setup.queries, dialect.query, dialect.after,
                    format_position(minimum), dialect.begin, dialect.read);
    const clock::time_point sent_at = clock::now();
    line_exchange result = co_await exchange(*connection, queries, setup.count + 1,
                                             std::min(deadline, sent_at + begin_timeout));
    const clock::time_point now = clock::now();
    if (!result.is_complete()) {
        context_.connections.release(std::move(connection), false);
        context_.connections.record_unanswered(*server, result.has_timed_out, sent_at, now);
        excluded_servers_.push_back(server->id);
        co_return attempt_result{
            next_step::retry,
            make_error_answer(answer_cause::server_silent, dialect.busy,
                              "not run: the server did not begin a transaction"),
            server_contact::none};
    }
    if (!all_succeeded(result.answers, setup.count, session_state::idle)) {
        context_.connections.release(std::move(connection), false);
        co_return refuse_unprepared(*server, setup_answers(result, setup));
    }
    record_setup(*connection, session_, first.prepared, false);
    if (result.answers.back().is_error) {
        context_.connections.release(std::move(connection), is_reusable(result, context_.dialect));
        attempt_result refusal =
            classify_read(*server, refuse_to_begin(std::move(result.answers.back())));
        refusal.next = next_step::retry; // no statement has run
        refusal.contact = server_contact::refused;
        co_return refusal;
    }
    if (!result.answers.back().is_in_transaction()) {
        context_.connections.release(std::move(connection), false);
        co_return refuse_unbegun(*server);
    }
    server->lag_count = 0;
    connection_ = std::move(connection);
    co_return outcome;
}

// Acquires a connection and begins the transaction on it. Returns the error answer on failure.
net::awaitable<std::optional<line_answer>>
execution::open_transaction(const server_statement& first, clock::time_point received_at)
{
    const clock::time_point deadline = received_at + transaction_.route->statement_timeout;
    budget_ = wait_budget(received_at, clock::now(), transaction_.route->latency_objective,
                          transaction_.route->statement_timeout);
    line_answer last = make_refusal(acquire_error::saturated, transaction_);
    const std::uint32_t attempt_limit = pinned_ ? 1 : max_attempts;
    for (attempts_ = 1; attempts_ <= attempt_limit && clock::now() < deadline; ++attempts_) {
        const std::optional<log_position> minimum =
            is_read_only_ ? minimum_position(transaction_, clock::now()) : std::nullopt;
        connection_request request = make_request(
            transaction_, minimum ? required_role::any : required_role::primary, deadline);
        acquire_result acquired = co_await acquire(request);
        if (!acquired.connection) {
            if (minimum && acquired.error == acquire_error::no_server) {
                prefers_primary_ = true;
                contact_ = server_contact::none;
                continue;
            }
            contact_ = acquired.error == acquire_error::saturated ? server_contact::saturated
                                                                  : server_contact::none;
            co_return make_refusal(acquired.error, transaction_);
        }
        last_server_ = acquired.connection->server->id;
        attempt_result result =
            co_await begin_on(std::move(acquired.connection), first, minimum, deadline);
        if (connection_) {
            co_return std::nullopt;
        }
        contact_ = result.contact;
        last = std::move(result.answer);
        if (result.next == next_step::finish) {
            break;
        }
        record_retry(transaction_, first, last_server_, last.code);
    }
    co_return last;
}

// Rolls back the transaction because its next statement was not sent.
line_answer execution::abort_unsent(const pooled_server& server)
{
    const bool is_evacuated = context_.connections.must_end_transactions(server, clock::now());
    roll_back();
    return is_evacuated
               ? make_error_answer(answer_cause::no_server, context_.dialect.aborted,
                                   "rolled back: the server's failure domain is being evacuated; "
                                   "retry the transaction")
               : make_error_answer(answer_cause::overloaded, context_.dialect.aborted,
                                   "rolled back: the server is overloaded; retry the transaction");
}

// A setup that failed closes the transaction's connection, which rolls it back. The statement has
// not been sent, so that its outcome is known.
net::awaitable<std::optional<line_answer>>
execution::set_up_transaction(const prepared_statement* needed, clock::time_point deadline)
{
    const setup_queries setup =
        make_setup_queries(*connection_, session_, needed, true, context_.dialect);
    if (setup.count == 0) {
        co_return std::nullopt;
    }
    std::optional<attempt_result> refusal =
        co_await set_up(*connection_, setup, needed, true, deadline);
    if (!refusal) {
        co_return std::nullopt;
    }
    context_.connections.release(std::move(connection_), false);
    is_open_ = false;
    if (refusal->next == next_step::finish) {
        co_return std::move(refusal->answer);
    }
    co_return make_error_answer(
        refusal->answer.cause, context_.dialect.aborted,
        fmt::format("rolled back and {}; retry the transaction", refusal->answer.text));
}

// Rolls the transaction back if its caller may not go on with it.
std::optional<line_answer> execution::check_transaction_right()
{
    std::optional<line_answer> refusal = check_right(context_, transaction_);
    if (refusal) {
        roll_back();
    }
    return refusal;
}

// Checks what may have changed while the transaction's next statement waited. Rolls it back if the
// statement may not be sent.
std::optional<line_answer> execution::check_before_sending(const pooled_server& server)
{
    std::optional<line_answer> refusal = check_transaction_right();
    if (!refusal && !has_begun_ && !context_.connections.may_begin_at(server, clock::now())) {
        roll_back();
        refusal = make_refusal(is_read_only_ ? acquire_error::no_server : acquire_error::no_primary,
                               transaction_);
    }
    return refusal;
}

bool execution::must_end(clock::time_point now) const
{
    return connection_ && context_.connections.must_end_transactions(*connection_->server, now);
}

void execution::drop_closed_prefetch(clock::time_point now)
{
    const bool is_closed =
        prefetch_ && prefetch_->is_finished && prefetch_->opener.connection_ &&
        !context_.connections.may_begin_at(*prefetch_->opener.connection_->server, now);
    if (is_closed) {
        prefetch_.reset();
    }
}

// Waits until the server of the transaction may run another statement. At a home its queue has
// decided this.
net::awaitable<bool> execution::start_statement(clock::time_point deadline, bool is_commit)
{
    pool& connections = context_.connections;
    if (!pinned_) {
        co_return co_await connections.start_when_admitted(*connection_, deadline, is_commit);
    }
    const std::shared_ptr<pooled_server> server = connection_->server;
    if (connections.must_end_transactions(*server, clock::now())) {
        co_return false;
    }
    const bool may_start = co_await connections.wait_if_cold(*connection_, deadline, is_commit);
    if (may_start) {
        connections.record_start(*server);
    }
    co_return may_start;
}

// Passes a statement of the transaction to its home, or ensures that there is a connection to run
// it on. Returns the answer if the statement has been answered.
net::awaitable<std::optional<line_answer>>
execution::prepare_step(const server_statement& statement, bool is_commit)
{
    connection_wait_ = clock::duration(0);
    std::optional<line_answer> right_refusal = check_transaction_right();
    if (right_refusal) {
        if (is_commit) {
            right_refusal->code = context_.dialect.aborted;
        }
        co_return right_refusal;
    }
    if (home_transaction_) {
        co_return co_await continue_at_home(statement, is_commit);
    }
    if (!connection_ && !prefetch_ && may_use_home(transaction_)) {
        std::optional<line_answer> at_home = co_await begin_at_home(statement, is_commit);
        if (at_home) {
            co_return at_home;
        }
    }
    contact_ = server_contact::saturated;
    if (!connection_) {
        std::optional<line_answer> refusal = co_await ensure_connection(statement);
        if (refusal) {
            is_open_ = false;
            co_return refusal;
        }
    }
    contact_ = server_contact::answered;
    co_return std::nullopt;
}

// True if the server's queue was full and there is time to send the statement again.
bool execution::may_run_again(const line_answer& answer, clock::time_point now,
                              clock::time_point deadline) const
{
    return answer.is_error && answer.code == context_.dialect.busy &&
           answer.state == session_state::in_transaction && now + busy_retry_delay * 2 < deadline;
}

net::awaitable<line_answer> execution::run(const server_statement& statement)
{
    const line_dialect& dialect = context_.dialect;
    std::optional<line_answer> answered = co_await prepare_step(statement, false);
    if (answered) {
        co_return std::move(*answered);
    }
    const std::shared_ptr<pooled_server> server = connection_->server;
    const clock::time_point deadline = clock::now() + transaction_.route->statement_timeout;
    std::optional<line_answer> unprepared =
        co_await set_up_transaction(statement.prepared, deadline);
    if (unprepared) {
        co_return std::move(*unprepared);
    }
    const std::string query =
        fmt::format("{} {} {}\r\n", dialect.query, statement.id, statement.text);
    line_exchange result;
    while (true) {
        const bool may_run = co_await start_statement(deadline, false);
        if (!may_run) {
            co_return abort_unsent(*server);
        }
        std::optional<line_answer> refusal = check_before_sending(*server);
        if (refusal) {
            context_.connections.cancel_start(*server);
            co_return std::move(*refusal);
        }
        const clock::time_point sent_at = clock::now();
        context_.connections.log_use(*server, sent_at);
        result = co_await exchange_statement(*connection_, query, session_state::in_transaction,
                                             deadline);
        const clock::time_point now = clock::now();
        context_.connections.record_finish(*server, elapsed_ms(sent_at, now), now);
        if (!result.is_complete()) {
            context_.connections.release(std::move(connection_), false);
            context_.connections.record_unanswered(*server, result.has_timed_out, sent_at, now);
            is_open_ = false;
            contact_ = server_contact::lost;
            co_return make_connection_failure();
        }
        if (!may_run_again(result.answers.front(), now, deadline)) {
            break;
        }
        co_await sleep_for(context_.executor, busy_retry_delay);
    }
    has_begun_ = true;
    line_answer answer = std::move(result.answers.front());
    has_written_ = has_written_ || statement.is_write;
    if (!answer.is_error) {
        co_return answer;
    }
    if (answer.code == dialect.read_only && !is_read_only_) {
        context_.connections.primary_of(server->group).record_refusal(server->id, clock::now());
    }
    if (answer.code == dialect.unknown_statement) {
        answer = refuse_unknown_statement(*server);
        answer.code = dialect.aborted;
        context_.connections.release(std::move(connection_), false);
    }
    roll_back();
    co_return answer;
}

net::awaitable<line_answer> execution::commit(const std::string& id)
{
    const line_dialect& dialect = context_.dialect;
    server_statement statement;
    statement.id = id;
    statement.text = dialect.commit;
    std::optional<line_answer> answered = co_await prepare_step(statement, true);
    if (answered) {
        co_return std::move(*answered);
    }
    const std::shared_ptr<pooled_server> server = connection_->server;
    const clock::time_point deadline = clock::now() + transaction_.route->statement_timeout;
    std::optional<line_answer> unprepared = co_await set_up_transaction(nullptr, deadline);
    if (unprepared) {
        co_return std::move(*unprepared);
    }
    const std::string query = fmt::format("{} {} {}\r\n", dialect.query, id, dialect.commit);
    line_exchange result;
    clock::time_point sent_at;
    while (true) {
        const bool may_run = co_await start_statement(deadline, true);
        if (!may_run) {
            co_return abort_unsent(*server);
        }
        std::optional<line_answer> refusal = check_before_sending(*server);
        if (refusal) {
            context_.connections.cancel_start(*server);
            refusal->code = dialect.aborted;
            co_return std::move(*refusal);
        }
        sent_at = clock::now();
        result = co_await exchange_statement(*connection_, query, session_state::idle, deadline);
        const clock::time_point now = clock::now();
        context_.connections.record_finish(*server, elapsed_ms(sent_at, now), now);
        if (!result.is_complete() || !may_run_again(result.answers.front(), now, deadline)) {
            break;
        }
        co_await sleep_for(context_.executor, busy_retry_delay);
    }
    is_open_ = false;
    if (result.is_unsent) {
        context_.connections.release(std::move(connection_), false);
        co_return make_connection_failure();
    }
    if (result.answers.empty()) {
        contact_ = server_contact::lost;
        context_.connections.release(std::move(connection_), false);
        context_.connections.record_unanswered(*server, result.has_timed_out, sent_at,
                                               clock::now());
        context_.connections.primary_of(server->group).record_write_failure(sent_at);
        co_return make_error_answer(
            answer_cause::server_silent, dialect.unknown_outcome,
            "the server did not answer; the transaction may have taken effect");
    }
    line_answer answer = std::move(result.answers.front());
    const bool is_clean = result.is_complete() && answer.state == session_state::idle;
    context_.connections.release(std::move(connection_), is_clean);
    if (!answer.is_error && has_written_) {
        record_commit(answer, *server, sent_at);
    }
    if (answer.is_error && answer.code == dialect.read_only) {
        context_.connections.primary_of(server->group).record_refusal(server->id, clock::now());
    }
    if (answer.is_error && answer.code == dialect.timed_out) {
        context_.connections.primary_of(server->group).record_write_failure(sent_at);
    }
    co_return answer;
}

namespace {

// Rolls back in the background and returns the connection to the pool.
net::awaitable<void> reset_connection(context& ctx, std::unique_ptr<pooled_connection> connection)
{
    constexpr clock::duration rollback_timeout{500};
    const std::string queries = fmt::format("{} - {}\r\n", ctx.dialect.query, ctx.dialect.rollback);
    const line_exchange result =
        co_await connection->link->exchange(queries, 1, clock::now() + rollback_timeout);
    const bool is_clean = result.is_complete() && !result.answers.front().is_error &&
                          result.answers.front().state == session_state::idle;
    ctx.connections.release(std::move(connection), is_clean);
}

} // namespace

void execution::roll_back()
{
    is_open_ = false;
    prefetch_.reset();
    roll_back_at_home();
    if (connection_ && context_.connections.is_evacuated(*connection_->server)) {
        // Closing the connection rolls back as well, and sends nothing to the server.
        context_.connections.release(std::move(connection_), false);
    }
    if (connection_) {
        net::co_spawn(context_.executor, reset_connection(context_, std::move(connection_)),
                      net::detached);
    }
}

} // namespace primrosehead::pooler
