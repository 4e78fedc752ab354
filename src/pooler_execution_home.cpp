// The part of an execution that passes operations to the homes of backend servers.
#include "event_log.h"
#include "pooler_cause.h"
#include "pooler_execution.h"
#include "pooler_home_client.h"
#include "pooler_metrics.h"
#include "primrosehead.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

// Homes that are tried for one attempt, before an own connection is used.
constexpr std::size_t max_homes_tried = 2;

std::uint32_t remaining_ms(clock::time_point until, clock::time_point now)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, (until - now).count()));
}

home_call_kind kind_of_single(const server_statement& statement)
{
    return statement.is_write ? home_call_kind::write : home_call_kind::read;
}

line_answer make_home_refusal(const line_dialect& dialect, const operation& op,
                              std::string_view claim, clock::duration retry_after,
                              std::string_view reason)
{
    return make_error_answer(
        answer_cause::crowded, dialect.busy,
        fmt::format("{}: the servers of group {} are saturated ({}); retry after {} ms", claim,
                    op.route->group, reason, std::max<std::int64_t>(1, retry_after.count())));
}

} // namespace

bool execution::may_use_home(const operation& op) const
{
    return !pinned_ && context_.homes != nullptr && context_.homes->is_active(op.route->group);
}

void execution::describe_call(const operation& op, const server_statement& statement,
                              const pooled_server& server, clock::time_point deadline,
                              pb::home_request& request) const
{
    const clock::time_point now = clock::now();
    request.set_server(server.id);
    request.set_born_ms(server.born_ms);
    request.set_group(server.group);
    request.set_organisation(op.organisation);
    request.set_priority(op.route->priority);
    request.set_remaining_ms(std::max(1U, remaining_ms(deadline, now)));
    request.set_objective_ms(remaining_ms(op.began_at + op.route->latency_objective, now));
    request.set_statement_id(statement.id);
    request.set_statement(statement.text);
    request.set_write(statement.is_write);
    if (statement.prepared != nullptr) {
        request.set_prepared_name(statement.prepared->pool_name);
        request.set_prepared_shape(statement.prepared->shape);
        request.set_prepared_write(statement.prepared->is_write);
    }
    for (const auto& [name, value] : session_.values) {
        pb::session_value& each = *request.add_values();
        each.set_name(name);
        each.set_value(value);
    }
}

// Calls a home and records what the call tells about the server.
net::awaitable<home_result> execution::call_home(const home_address& home, pooled_server& server,
                                                 pb::home_request& request, home_call_kind kind,
                                                 clock::time_point deadline)
{
    const clock::time_point sent_at = clock::now();
    last_server_ = server.id;
    last_home_ = home.instance;
    context_.connections.record_start(server);
    home_result result = co_await context_.homes->call(home, request, kind, deadline);
    const clock::time_point now = clock::now();
    const clock::duration took = now - sent_at;
    const bool is_answered = result.ending == home_ending::answered;
    context_.connections.record_finish(
        server, is_answered ? static_cast<double>(took.count()) : server.expected_latency_ms(now),
        now);
    const bool is_lost = result.ending == home_ending::lost || result.ending == home_ending::silent;
    has_lost_answer_ = has_lost_answer_ || is_lost;
    has_reached_server_ = has_reached_server_ || is_answered || is_lost;
    connection_wait_ += result.waited;
    context_.metrics.record_phase(statement_phase::connection, result.waited);
    context_.metrics.record_phase(statement_phase::server, took - std::min(took, result.waited));
    if (!is_answered) {
        context_.events.detail("home", "call_failed")
            .field("id", request.statement_id())
            .field("home", home.instance)
            .field("server", server.id)
            .field("kind", to_string(kind))
            .field("ending", to_string(result.ending))
            .field("reason", result.reason)
            .field("took_ms", took.count());
    }
    co_return result;
}

// Returns the homes of a server that the route and the organisation allow: an operation's text
// reaches no instance outside its regions but the one that the caller is connected to.
std::vector<home_address> execution::allowed_homes(const pooled_server& server, const operation& op)
{
    return context_.homes->homes_of(server.id, server.failure_domain, op.organisation, clock::now(),
                                    op.snapshot->regions_for(*op.route, op.organisation));
}

bool execution::has_other_server(const operation& op, clock::time_point deadline) const
{
    const connection_request request = make_request(op, required_role::any, deadline);
    acquire_error error = acquire_error::none;
    return context_.connections.choose_server(request, clock::now(), error) != nullptr;
}

// Turns the end of a call into the result of an attempt. The caller handles `next_home`.
execution::attempt_result execution::classify_home_result(const operation& op,
                                                          pooled_server& server,
                                                          home_call_kind kind, home_result result,
                                                          clock::time_point sent_at)
{
    const line_dialect& dialect = context_.dialect;
    primary_tracker& primary = context_.connections.primary_of(server.group);
    switch (decide_home_ending(kind, result.ending)) {
    case home_decision::use_answer:
        break;
    case home_decision::refuse:
        return {next_step::finish,
                make_home_refusal(dialect, op, claim(), result.retry_after, result.reason)};
    case home_decision::answer_unknown:
        primary.record_write_failure(sent_at);
        return {next_step::finish,
                make_error_answer(answer_cause::server_silent, dialect.unknown_outcome,
                                  "the primary did not answer; the write may have taken effect")};
    case home_decision::answer_aborted:
        return {next_step::finish, make_connection_failure()};
    case home_decision::next_home:
    case home_decision::next_server:
        excluded_servers_.push_back(server.id);
        return {next_step::retry, make_error_answer(answer_cause::server_silent, dialect.timed_out,
                                                    "the server did not answer in time")};
    }
    line_answer answer = std::move(result.answer);
    if (result.ending == home_ending::refused_by_server) {
        if (answer.code == dialect.read_only) {
            primary.record_refusal(server.id, clock::now());
        }
        attempt_result refusal = classify_read(server, std::move(answer));
        refusal.next = next_step::retry; // no statement has run
        return refusal;
    }
    if (kind == home_call_kind::write) {
        return classify_write(server, std::move(answer), sent_at);
    }
    return classify_read(server, std::move(answer));
}

net::awaitable<std::optional<execution::attempt_result>>
execution::run_at_home(const operation& op, const server_statement& statement,
                       std::optional<log_position> minimum, clock::time_point deadline)
{
    const required_role role = minimum ? required_role::any : required_role::primary;
    const connection_request wanted = make_request(op, role, deadline);
    acquire_error error = acquire_error::none;
    const std::shared_ptr<pooled_server> server =
        context_.connections.choose_server(wanted, clock::now(), error);
    if (!server) {
        const bool tries_primary = minimum && error == acquire_error::no_server;
        prefers_primary_ = prefers_primary_ || tries_primary;
        co_return attempt_result{tries_primary ? next_step::retry : next_step::finish,
                                 make_refusal(error, op)};
    }
    const std::vector<home_address> homes = allowed_homes(*server, op);
    const home_call_kind kind = kind_of_single(statement);
    home_ending ending = home_ending::leaving;
    for (std::size_t i = 0; i < homes.size() && i < max_homes_tried && clock::now() < deadline;
         ++i) {
        pb::home_request request;
        request.set_operation(statement.is_write ? pb::HOME_WRITE
                              : minimum          ? pb::HOME_READ_REPLICA
                                                 : pb::HOME_READ_PRIMARY);
        if (minimum) {
            write_position(*minimum, *request.mutable_minimum());
        }
        describe_call(op, statement, *server, deadline, request);
        const clock::time_point sent_at = clock::now();
        home_result result = co_await call_home(homes[i], *server, request, kind, deadline);
        ending = result.ending;
        if (decide_home_ending(kind, ending) == home_decision::next_home) {
            continue;
        }
        const bool is_primary_read = kind == home_call_kind::read && !minimum &&
                                     ending == home_ending::answered && !result.answer.is_error;
        if (is_primary_read && result.answer.position) {
            const clock::time_point now = clock::now();
            context_.connections.primary_of(server->group).record_primary(server->id, now);
            context_.connections.freshness_of(server->group)
                .record(server->id, *result.answer.position, sent_at);
        }
        attempt_result outcome =
            classify_home_result(op, *server, kind, std::move(result), sent_at);
        if (minimum && ending == home_ending::refused) {
            excluded_servers_.push_back(server->id);
            // Replicas may have shorter queues; the primary's slots stay with writes.
            outcome.next = has_other_server(op, deadline) ? next_step::retry : next_step::finish;
        }
        co_return outcome;
    }
    if (ending == home_ending::unavailable) {
        co_return record_unreachable(op, *server, minimum.has_value());
    }
    last_home_.clear();
    co_return std::nullopt; // nothing was sent to the server, except reads
}

// Begins the transaction at a home, with its first statement or its commit. Returns nothing if no
// home can be used.
net::awaitable<std::optional<line_answer>> execution::begin_at_home(const server_statement& first,
                                                                    bool is_commit)
{
    const operation& op = transaction_;
    const clock::time_point deadline = clock::now() + op.route->statement_timeout;
    budget_ = wait_budget(clock::now(), clock::now(), op.route->latency_objective,
                          op.route->statement_timeout);
    line_answer last = make_refusal(acquire_error::saturated, op);
    for (attempts_ = 1; attempts_ <= max_attempts && clock::now() < deadline; ++attempts_) {
        const std::optional<log_position> minimum =
            is_read_only_ ? minimum_position(op, clock::now()) : std::nullopt;
        const connection_request wanted =
            make_request(op, minimum ? required_role::any : required_role::primary, deadline);
        acquire_error error = acquire_error::none;
        const std::shared_ptr<pooled_server> server =
            context_.connections.choose_server(wanted, clock::now(), error);
        if (!server) {
            if (minimum && error == acquire_error::no_server) {
                prefers_primary_ = true;
                continue;
            }
            is_open_ = false;
            co_return make_refusal(error, op);
        }
        std::optional<attempt_result> attempt =
            co_await begin_at_server(server, first, is_commit, minimum, deadline);
        if (!attempt) {
            last_home_.clear();
            co_return std::nullopt;
        }
        last = std::move(attempt->answer);
        if (attempt->next == next_step::finish) {
            is_open_ = is_open_ && home_transaction_.has_value();
            co_return last;
        }
        record_retry(op, first, server->id, last.code);
    }
    is_open_ = false;
    co_return last;
}

// Makes one attempt to begin the transaction, at the homes of `server`. Returns nothing if none of
// them can be used; then nothing was sent to the server.
net::awaitable<std::optional<execution::attempt_result>>
execution::begin_at_server(std::shared_ptr<pooled_server> server, const server_statement& first,
                           bool is_commit, std::optional<log_position> minimum,
                           clock::time_point deadline)
{
    // A commit that begins its transaction has nothing to lose, so it counts as a first statement.
    const home_call_kind kind = home_call_kind::first_statement;
    const operation& op = transaction_;
    const std::vector<home_address> homes = allowed_homes(*server, op);
    home_ending ending = home_ending::leaving;
    for (std::size_t i = 0; i < homes.size() && i < max_homes_tried; ++i) {
        home_transaction_ = home_transaction{context_.homes->weak_from_this(), server, homes[i],
                                             context_.homes->next_transaction(), 1};
        pb::home_request request;
        request.set_operation(is_commit ? pb::HOME_COMMIT : pb::HOME_STATEMENT);
        request.set_transaction(home_transaction_->number);
        request.set_step(1);
        request.set_read_only(is_read_only_);
        if (minimum) {
            write_position(*minimum, *request.mutable_minimum());
        }
        describe_call(op, first, *server, deadline, request);
        const clock::time_point sent_at = clock::now();
        home_result result = co_await call_home(homes[i], *server, request, kind, deadline);
        ending = result.ending;
        if (ending == home_ending::answered) {
            line_answer answer = finish_at_home(std::move(result), is_commit, first, sent_at);
            co_return attempt_result{next_step::finish, std::move(answer)};
        }
        if (ending == home_ending::silent) {
            roll_back_at_home();
        }
        home_transaction_.reset();
        if (decide_home_ending(kind, ending) != home_decision::next_home) {
            co_return classify_home_result(op, *server, kind, std::move(result), sent_at);
        }
    }
    if (ending == home_ending::unavailable) {
        co_return record_unreachable(op, *server, minimum.has_value());
    }
    co_return std::nullopt;
}

// No home has a connection to the server.
execution::attempt_result execution::record_unreachable(const operation& op, pooled_server& server,
                                                        bool any_server)
{
    context_.connections.mark_unreachable(server, false, clock::now());
    excluded_servers_.push_back(server.id);
    return {next_step::retry,
            make_refusal(any_server ? acquire_error::no_server : acquire_error::no_primary, op)};
}

// Applies the server's answer to a statement or commit that the home ran.
line_answer execution::finish_at_home(home_result result, bool is_commit,
                                      const server_statement& statement, clock::time_point sent_at)
{
    const line_dialect& dialect = context_.dialect;
    const std::shared_ptr<pooled_server> server = home_transaction_->server;
    primary_tracker& primary = context_.connections.primary_of(server->group);
    line_answer answer = std::move(result.answer);
    has_written_ = has_written_ || statement.is_write;
    if (answer.is_error && answer.code == dialect.read_only && !is_read_only_) {
        primary.record_refusal(server->id, clock::now());
    }
    if (is_commit && answer.is_error && answer.code == dialect.timed_out) {
        primary.record_write_failure(sent_at);
    }
    if (is_commit && !answer.is_error && has_written_) {
        record_commit(answer, *server, sent_at);
    }
    if (is_commit || answer.is_error) {
        home_transaction_.reset(); // the home has ended it
        is_open_ = false;
    }
    return answer;
}

net::awaitable<line_answer> execution::continue_at_home(const server_statement& statement,
                                                        bool is_commit)
{
    const line_dialect& dialect = context_.dialect;
    const home_call_kind kind = is_commit ? home_call_kind::commit : home_call_kind::statement;
    const std::shared_ptr<pooled_server> server = home_transaction_->server;
    const home_address home = home_transaction_->home;
    const clock::time_point deadline = clock::now() + transaction_.route->statement_timeout;
    pb::home_request request;
    request.set_operation(is_commit ? pb::HOME_COMMIT : pb::HOME_STATEMENT);
    request.set_transaction(home_transaction_->number);
    request.set_step(++home_transaction_->step);
    request.set_read_only(is_read_only_);
    describe_call(transaction_, statement, *server, deadline, request);
    const clock::time_point sent_at = clock::now();
    home_result result = co_await call_home(home, *server, request, kind, deadline);
    const home_decision decision = decide_home_ending(kind, result.ending);
    if (decision == home_decision::use_answer) {
        co_return finish_at_home(std::move(result), is_commit, statement, sent_at);
    }
    if (decision == home_decision::answer_unknown) {
        home_transaction_.reset();
        is_open_ = false;
        context_.connections.primary_of(server->group).record_write_failure(sent_at);
        co_return make_error_answer(
            answer_cause::server_silent, dialect.unknown_outcome,
            "the server did not answer; the transaction may have taken effect");
    }
    const bool is_refused = result.ending == home_ending::refused;
    roll_back_at_home();
    is_open_ = false;
    co_return make_error_answer(is_refused ? answer_cause::overloaded : answer_cause::server_silent,
                                dialect.aborted,
                                fmt::format("rolled back: {}; retry the transaction",
                                            is_refused ? "the server is overloaded"
                                                       : "the connection to the server failed"));
}

// Ends a transaction at its home without waiting for it.
void execution::roll_back_at_home()
{
    if (!home_transaction_) {
        return;
    }
    pb::home_request request;
    request.set_operation(pb::HOME_ROLLBACK);
    request.set_transaction(home_transaction_->number);
    if (const std::shared_ptr<home_client> client = home_transaction_->client.lock()) {
        client->notify(home_transaction_->home, std::move(request));
    }
    home_transaction_.reset();
}

} // namespace primrosehead::pooler
