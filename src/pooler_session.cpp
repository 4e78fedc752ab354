#include "pooler_session.h"

#include "clock_timer.h"
#include "event_log.h"
#include "pooler_access.h"
#include "pooler_cause.h"
#include "pooler_commits.h"
#include "pooler_follower.h"
#include "pooler_metrics.h"
#include "pooler_wait.h"

#include <primrosehead/config.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
// A typical statement is a few hundred bytes.
constexpr std::size_t read_chunk_bytes = config::kibibyte;
constexpr clock::duration startup_timeout{3'000}; // for the first line
// One in this many successful statements is logged, and every failed one.
constexpr std::uint64_t log_sample_interval = 256;

statement_outcome outcome_of(const line_answer& answer, const line_dialect& dialect)
{
    if (!answer.is_error) {
        return statement_outcome::done;
    }
    if (answer.code == dialect.unknown_outcome) {
        return statement_outcome::unknown;
    }
    const bool is_refusal = answer.code == dialect.busy || answer.code == dialect.aborted ||
                            answer.code == dialect.behind || answer.code == dialect.read_only ||
                            answer.code == dialect.wrong_server || answer.code == dialect.too_many;
    return is_refusal ? statement_outcome::refused : statement_outcome::failed;
}

} // namespace

session::session(context& ctx, net::ip::tcp::socket socket, std::uint64_t number)
    : context_(ctx), socket_(std::move(socket)), idle_timer_(ctx.executor), number_(number),
      execution_(ctx, state_)
{
}

line_answer session::success() const
{
    line_answer answer;
    answer.signature = "-";
    return answer;
}

net::awaitable<session::read_result> session::read_line(std::string& line)
{
    while (true) {
        const std::size_t end = input_.find(line_end, consumed_);
        if (end != std::string::npos) {
            line.assign(input_, consumed_, end - consumed_);
            consumed_ = end + line_end.size();
            if (consumed_ == input_.size()) {
                input_.clear();
                consumed_ = 0;
            }
            co_return read_result::line;
        }
        if (input_.size() - consumed_ > config::max_line_bytes) {
            co_return read_result::too_large;
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        const std::size_t buffered_bytes = input_.size();
        has_partial_line_ = buffered_bytes > 0;
        input_.resize(buffered_bytes + read_chunk_bytes);
        const auto [ec, size] = co_await socket_.async_read_some(
            net::buffer(input_.data() + buffered_bytes, read_chunk_bytes), no_throw);
        input_.resize(buffered_bytes + (ec ? 0 : size));
        if (ec) {
            co_return read_result::closed;
        }
    }
}

void session::write_answer(const line_answer& answer)
{
    const line_dialect& dialect = context_.dialect;
    for (const std::string& row : answer.rows) {
        fmt::format_to(std::back_inserter(output_), "{} {}\r\n", dialect.row, row);
    }
    if (answer.is_error) {
        fmt::format_to(std::back_inserter(output_), "{} {} {}\r\n", dialect.failed, answer.code,
                       answer.text.empty() ? "-" : answer.text);
    }
    else {
        fmt::format_to(std::back_inserter(output_), "{} {}\r\n", dialect.complete,
                       answer.signature);
    }
    const std::string_view state = has_failed_transaction_ ? "E" : execution_.is_open() ? "T" : "I";
    fmt::format_to(std::back_inserter(output_), "{} {} {}\r\n", dialect.ready, state,
                   format_position(answer.position));
}

net::awaitable<bool> session::flush()
{
    const std::string bytes = std::exchange(output_, {});
    const auto [ec, size] = co_await net::async_write(socket_, net::buffer(bytes), no_throw);
    co_return !ec;
}

net::awaitable<bool> session::start()
{
    idle_timer_.expires_after(startup_timeout);
    idle_timer_.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
        const std::shared_ptr<session> live = self.lock();
        if (!ec && live) {
            boost::system::error_code ignored; // no operation is in progress
            live->socket_.close(ignored);
        }
    });
    std::string line;
    const read_result read = co_await read_line(line);
    idle_timer_.cancel();
    const split_text message = split_first_word(line);
    std::optional<line_answer> refusal;
    if (read == read_result::closed) {
        co_return false;
    }
    if (read == read_result::too_large) {
        refusal = make_error_answer(answer_cause::request, context_.dialect.too_large,
                                    "the line is too long");
    }
    else if (message.first != context_.dialect.startup || message.remainder.empty()) {
        refusal = make_error_answer(answer_cause::request, context_.dialect.malformed,
                                    "the first line of a session must name its database");
    }
    else {
        const split_text database = split_first_word(message.remainder);
        from_ = {std::string(database.first), std::string(database.remainder)};
        refusal = check_access(context_, from_);
    }
    if (refusal) {
        context_.events.decision("session", "refused")
            .field("session", static_cast<std::int64_t>(number_))
            .field("database", from_.database)
            .field("code", refusal->code)
            .field("reason", refusal->text);
        output_ =
            fmt::format("{} {} {}\r\n", context_.dialect.failed, refusal->code, refusal->text);
        co_await flush();
        co_return false;
    }
    output_ = fmt::format("{} I -\r\n", context_.dialect.ready);
    co_return co_await flush();
}

// Captures the document snapshot of an operation and takes its rate limit token. Returns the error
// answer if it may not begin.
net::awaitable<std::optional<line_answer>> session::admit(operation& op)
{
    std::optional<line_answer> refusal = check_access(context_, from_);
    if (refusal) {
        co_return refusal;
    }
    const clock::time_point now = clock::now();
    op.from = from_;
    op.snapshot = context_.control.current_document();
    op.route = op.snapshot->route(from_.database);
    op.began_at = now;
    const document_organisation* const organisation = op.snapshot->organisation_for_key(from_.key);
    if (organisation == nullptr) {
        co_return std::nullopt;
    }
    op.organisation = organisation->name;
    limiter* const limits = context_.control.limiter_for(op.organisation);
    if (limits == nullptr || limits->try_take(now)) {
        co_return std::nullopt;
    }
    bool is_admitted = co_await context_.control.borrow_token(op.organisation);
    context_.metrics.record_borrowing(is_admitted);
    if (!is_admitted) {
        // Until the instance has a share, it does not know whether the rate is used up.
        is_admitted = co_await context_.control.await_share(
            op.organisation, outage_deadline(now, op.route->statement_timeout));
    }
    context_.metrics.record_phase(statement_phase::admission, clock::now() - now);
    if (is_admitted) {
        co_return std::nullopt;
    }
    limiter* const current_limits = context_.control.limiter_for(op.organisation);
    const std::int64_t wait_ms =
        current_limits == nullptr ? 0 : current_limits->retry_after().count();
    co_return make_error_answer(
        answer_cause::rate, context_.dialect.too_many,
        fmt::format("not run: rate limit of organisation {} exceeded; retry after {} ms",
                    op.organisation, wait_ms));
}

line_answer session::update_state(const line_statement& statement)
{
    const line_dialect& dialect = context_.dialect;
    if (statement.kind == statement_kind::set) {
        if (state_.values.size() >= config::max_session_values &&
            !state_.values.contains(statement.name)) {
            return make_error_answer(answer_cause::request, dialect.too_large,
                                     "too many values in this session");
        }
        state_.values.insert_or_assign(std::string(statement.name),
                                       std::string(statement.arguments));
        return success();
    }
    if (statement.kind == statement_kind::deallocate) {
        const auto found = state_.prepared.find(statement.name);
        if (found == state_.prepared.end()) {
            return make_error_answer(answer_cause::request, dialect.unknown_statement,
                                     "no prepared statement of this name");
        }
        state_.prepared.erase(found);
        return success();
    }
    if (state_.prepared.size() >= config::max_session_statements &&
        !state_.prepared.contains(statement.name)) {
        return make_error_answer(answer_cause::request, dialect.too_large,
                                 "too many prepared statements in this session; deallocate some");
    }
    prepared_statement prepared;
    prepared.is_write = statement.kind == statement_kind::prepare_write;
    prepared.shape = statement.arguments;
    prepared.pool_name = pooled_statement_name(prepared.is_write, prepared.shape);
    state_.prepared.insert_or_assign(std::string(statement.name), std::move(prepared));
    return success();
}

std::optional<line_answer> session::translate(const line_statement& statement,
                                              std::string_view text,
                                              server_statement& translated) const
{
    translated.is_write = statement.kind == statement_kind::write;
    translated.text = text;
    if (statement.kind != statement_kind::execute) {
        return std::nullopt;
    }
    const auto found = state_.prepared.find(statement.name);
    if (found == state_.prepared.end()) {
        return make_error_answer(answer_cause::request, context_.dialect.unknown_statement,
                                 "no prepared statement of this name");
    }
    translated.is_write = found->second.is_write;
    translated.prepared = &found->second;
    translated.text = fmt::format("{} {} {}", context_.dialect.execute, found->second.pool_name,
                                  statement.arguments);
    return std::nullopt;
}

net::awaitable<line_answer> session::begin_transaction(bool read_only)
{
    if (execution_.is_open()) {
        co_return make_error_answer(answer_cause::request, context_.dialect.malformed,
                                    "a transaction is already open");
    }
    operation op;
    std::optional<line_answer> refusal = co_await admit(op);
    if (refusal) {
        co_return std::move(*refusal);
    }
    execution_.begin(op, read_only);
    co_return success();
}

net::awaitable<line_answer> session::end_transaction(const std::string& id, bool commit)
{
    if (has_failed_transaction_) {
        has_failed_transaction_ = false;
        is_abort_unreported_ = false;
        execution_.roll_back();
        co_return commit ? make_error_answer(answer_cause::transaction, context_.dialect.aborted,
                                             "rolled back: " + failure_reason_)
                         : success();
    }
    if (!execution_.is_open()) {
        co_return make_error_answer(answer_cause::request, context_.dialect.malformed,
                                    "no transaction is open");
    }
    if (!commit) {
        execution_.roll_back();
        co_return success();
    }
    std::optional<line_answer> refusal = check_right(context_, execution_.transaction());
    if (refusal) {
        execution_.roll_back();
        refusal->code = context_.dialect.aborted;
        co_return std::move(*refusal);
    }
    co_return co_await commit_transaction(id);
}

// Commits a transaction. One that wrote is not sent to the server while its outcome could not be
// confirmed.
net::awaitable<line_answer> session::commit_transaction(const std::string& id)
{
    if (!execution_.has_written()) {
        co_return co_await execution_.commit(id);
    }
    const operation op = execution_.transaction();
    const clock::time_point now = clock::now();
    const bool has_lease = co_await context_.confirmations.await_lease(
        outage_deadline(now, op.route->statement_timeout));
    if (!has_lease) {
        execution_.roll_back();
        co_return make_error_answer(
            answer_cause::unconfirmed, context_.dialect.aborted,
            "rolled back: this instance is cut off from control; use another instance");
    }
    const commit_mark mark = context_.confirmations.gate().mark(op.route->group);
    const clock::time_point sent_at = clock::now();
    line_answer result = co_await execution_.commit(id);
    co_return co_await confirm_commit(std::move(result), op, mark, sent_at,
                                      sent_at + op.route->statement_timeout);
}

net::awaitable<line_answer> session::run_write(const operation& op,
                                               const server_statement& statement)
{
    const bool has_lease = co_await context_.confirmations.await_lease(
        outage_deadline(op.began_at, op.route->statement_timeout));
    if (!has_lease) {
        co_return make_error_answer(
            answer_cause::unconfirmed, context_.dialect.busy,
            "not run: this instance is cut off from control; use another instance");
    }
    const commit_mark mark = context_.confirmations.gate().mark(op.route->group);
    line_answer result = co_await execution_.run_single(op, statement);
    // The time that it waited for a connection does not count.
    const clock::time_point sent_at = op.began_at + execution_.connection_wait();
    co_return co_await confirm_commit(std::move(result), op, mark, sent_at,
                                      op.began_at + op.route->statement_timeout);
}

// Returns the answer of a commit that the server acknowledged once it can't be lost any more.
net::awaitable<line_answer> session::confirm_commit(line_answer answer, const operation& op,
                                                    commit_mark mark, clock::time_point sent_at,
                                                    clock::time_point deadline)
{
    if (answer.is_error) {
        co_return answer;
    }
    const acknowledged_commit commit{
        op.route->group, execution_.last_server(), answer.position, mark, sent_at, clock::now()};
    const bool is_confirmed =
        co_await context_.confirmations.confirm(commit, op.organisation, deadline);
    if (is_confirmed) {
        co_return answer;
    }
    co_return make_error_answer(answer_cause::unconfirmed, context_.dialect.unknown_outcome,
                                "the primary is being replaced; the write may have taken effect");
}

net::awaitable<line_answer> session::run_statement(const std::string& id,
                                                   const line_statement& statement,
                                                   std::string_view text)
{
    server_statement translated;
    translated.id = id;
    std::optional<line_answer> refusal = translate(statement, text, translated);
    if (refusal) {
        co_return std::move(*refusal);
    }
    // `translated` refers to the session's prepared statement. The session reads no DEALLOCATE
    // before the operation is complete.
    if (execution_.is_open()) {
        line_answer result = co_await execution_.run(translated);
        refund_unused_token(execution_.transaction());
        co_return result;
    }
    operation op;
    refusal = co_await admit(op);
    if (refusal) {
        co_return std::move(*refusal);
    }
    line_answer result;
    if (translated.is_write) {
        result = co_await run_write(op, translated);
    }
    else {
        result = co_await execution_.run_single(op, translated);
    }
    refund_unused_token(op);
    co_return result;
}

// Refunds the rate limit token of an operation that never reached a server.
void session::refund_unused_token(const operation& op)
{
    limiter* const limits = context_.control.limiter_for(op.organisation);
    if (limits != nullptr && !execution_.has_reached_server()) {
        limits->return_token();
    }
}

net::awaitable<line_answer> session::answer(const std::string& id, std::string_view text)
{
    const line_statement statement = parse_statement(text, context_.dialect);
    const bool was_open = execution_.is_open();
    line_answer result;
    if (statement.kind == statement_kind::commit || statement.kind == statement_kind::rollback) {
        result = co_await end_transaction(id, statement.kind == statement_kind::commit);
        co_return result;
    }
    if (has_failed_transaction_ && std::exchange(is_abort_unreported_, false)) {
        co_return make_error_answer(answer_cause::no_server, context_.dialect.aborted,
                                    "rolled back: " + failure_reason_);
    }
    if (has_failed_transaction_) {
        co_return make_error_answer(answer_cause::transaction, context_.dialect.malformed,
                                    "the transaction has failed; end it before the next statement");
    }
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        result = co_await begin_transaction(statement.kind == statement_kind::begin_read_only);
        break;
    case statement_kind::set:
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
    case statement_kind::deallocate:
        result = update_state(statement);
        break;
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        result = co_await run_statement(id, statement, text);
        break;
    default:
        result = make_error_answer(answer_cause::request, context_.dialect.malformed,
                                   "malformed statement");
    }
    if (was_open && result.is_error) {
        execution_.roll_back();
        has_failed_transaction_ = true;
        failure_reason_ = fmt::format("a statement failed ({})", result.code);
    }
    co_return result;
}

void session::record_statement(const std::string& id, std::string_view text,
                               const line_answer& answer, clock::time_point began_at)
{
    const clock::time_point now = clock::now();
    const statement_outcome outcome = outcome_of(answer, context_.dialect);
    const std::shared_ptr<const document>& snapshot = context_.control.current_document();
    context_.metrics.record_statement(outcome, answer.cause,
                                      snapshot ? snapshot->route(from_.database) : nullptr,
                                      static_cast<double>((now - began_at).count()));
    static std::uint64_t served = 0;
    if (outcome == statement_outcome::done && ++served % log_sample_interval != 0) {
        return;
    }
    const event_priority weight =
        outcome == statement_outcome::done ? event_priority::detail : event_priority::decision;
    event_line line(context_.events, weight, "statement", to_string(outcome));
    line.field("id", id)
        .field("session", static_cast<std::int64_t>(number_))
        .field("database", from_.database)
        .field("verb", split_first_word(text).first)
        .field("server", execution_.last_server())
        .field("home", execution_.last_home())
        .field("attempts", static_cast<std::int64_t>(execution_.attempts()))
        .field("took_ms", (now - began_at).count())
        .field("connection_ms", execution_.connection_wait().count())
        .field("document",
               snapshot ? static_cast<std::int64_t>(snapshot->version()) : std::int64_t{0})
        .field("confirmed_ms_ago", (now - context_.control.confirmed_at()).count());
    if (answer.is_error) {
        line.field("code", answer.code)
            .field("cause", to_string(answer.cause))
            .field("reason", answer.text);
        add_decision_fields(line, answer.cause);
    }
}

// Logs the inputs of the decision behind an error that this instance generated.
void session::add_decision_fields(event_line& line, answer_cause cause) const
{
    const clock::time_point now = clock::now();
    const std::shared_ptr<const document>& snapshot = context_.control.current_document();
    const document_route* const route = snapshot ? snapshot->route(from_.database) : nullptr;
    const document_organisation* const organisation =
        snapshot ? snapshot->organisation_for_key(from_.key) : nullptr;
    limiter* const limits =
        organisation ? context_.control.limiter_for(organisation->name) : nullptr;
    if (cause == answer_cause::rate && limits != nullptr) {
        line.field("organisation", organisation->name)
            .field("rate", static_cast<std::int64_t>(organisation->rate))
            .field("share_ppm", static_cast<std::int64_t>(limits->share()))
            .field("leader_heard_ms_ago", (now - context_.control.last_reply_at()).count());
        return;
    }
    const bool is_server_cause =
        cause == answer_cause::crowded || cause == answer_cause::no_primary ||
        cause == answer_cause::no_server || cause == answer_cause::server_silent ||
        cause == answer_cause::overloaded;
    if (!is_server_cause || route == nullptr) {
        return;
    }
    const group_status status = context_.connections.status_of(route->group, now);
    line.field("group", route->group)
        .field("primary", status.primary)
        .field("primary_failing_ms", status.primary_failure_time.count())
        .field("waiting", static_cast<std::int64_t>(status.waiting))
        .field("servers_avoided", static_cast<std::int64_t>(status.avoided_servers))
        .field("position_ms_ago", status.position_age ? status.position_age->count() : -1);
}

// Returns false when the session is over.
net::awaitable<bool> session::handle_message(const std::string& line)
{
    const line_dialect& dialect = context_.dialect;
    const split_text message = split_first_word(line);
    if (message.first == dialect.terminate) {
        co_return false;
    }
    const split_text query = split_first_word(message.remainder);
    line_answer result;
    const clock::time_point began_at = clock::now();
    if (message.first != dialect.query || query.first.empty()) {
        result = make_error_answer(answer_cause::request, dialect.malformed, "malformed message");
    }
    else {
        const std::string id(query.first);
        result = co_await answer(id, query.remainder);
        record_statement(id, query.remainder, result, began_at);
    }
    write_answer(result);
    co_return co_await flush();
}

void session::abort_transaction(std::string_view reason)
{
    if (!execution_.is_open() || is_busy_) {
        return;
    }
    execution_.roll_back();
    has_failed_transaction_ = true;
    failure_reason_ = reason;
    context_.events.decision("session", "transaction_ended")
        .field("session", static_cast<std::int64_t>(number_))
        .field("database", from_.database)
        .field("reason", reason);
}

void session::leave_evacuated_server(clock::time_point now)
{
    if (is_busy_ || !execution_.is_open()) {
        return;
    }
    execution_.drop_closed_prefetch(now);
    if (execution_.must_end(now)) {
        abort_transaction("the server's failure domain is being evacuated");
        is_abort_unreported_ = true;
    }
}

// Arms the timer that aborts an idle transaction, because it holds a connection that others need.
void session::arm_idle_timer()
{
    if (!execution_.is_open()) {
        return;
    }
    const clock::duration limit =
        execution_.transaction().snapshot->content().idle_transaction_timeout;
    idle_timer_.expires_at(to_steady_time(clock::now() + limit));
    idle_timer_.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
        const std::shared_ptr<session> live = self.lock();
        if (!ec && live) {
            live->abort_transaction("the idle transaction timeout expired");
        }
    });
}

bool session::close_if_idle()
{
    if (is_busy_ || execution_.is_open() || has_failed_transaction_ || has_partial_line_) {
        return false;
    }
    // A statement may have arrived that has not been read yet.
    if (socket_.is_open()) {
        boost::system::error_code ec;
        if (socket_.available(ec) > 0 && !ec) {
            return false;
        }
        socket_.shutdown(net::ip::tcp::socket::shutdown_both, ec);
        socket_.close(ec);
    }
    return true;
}

net::awaitable<void> session::run()
{
    const std::shared_ptr<session> self = shared_from_this();
    bool is_serving = co_await start();
    std::string line;
    while (is_serving) {
        is_busy_ = false;
        arm_idle_timer();
        const read_result read = co_await read_line(line);
        idle_timer_.cancel();
        if (read == read_result::closed) {
            break;
        }
        is_busy_ = true;
        if (read == read_result::too_large) {
            output_ = fmt::format("{} {} the line is too long\r\n", context_.dialect.failed,
                                  context_.dialect.too_large);
            co_await flush();
            break;
        }
        is_serving = co_await handle_message(line);
        const bool may_end = !execution_.is_open() && !has_failed_transaction_;
        is_serving = is_serving && !(context_.is_closing_sessions && may_end);
    }
    is_busy_ = false;
    execution_.roll_back();
    boost::system::error_code ignored; // the session ends in any case
    socket_.close(ignored);
}

} // namespace primrosehead::pooler
