#include "pooler_session.h"

#include "clock_timer.h"
#include "event_log.h"
#include "pooler_cause.h"
#include "pooler_follower.h"
#include "pooler_metrics.h"

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
constexpr std::size_t read_bytes = config::kibibyte; // statements are some hundred bytes
constexpr clock::duration startup_timeout{3'000};    // a connection that says nothing is dropped
// One statement in so many that are served is logged; all that fail are.
constexpr std::uint64_t sample_every = 256;

statement_outcome outcome_of(const line_answer& answer, const line_dialect& words)
{
    if (!answer.is_error) {
        return statement_outcome::done;
    }
    if (answer.code == words.unknown_outcome) {
        return statement_outcome::unknown;
    }
    const bool is_promise = answer.code == words.busy || answer.code == words.aborted ||
                            answer.code == words.behind || answer.code == words.read_only ||
                            answer.code == words.wrong_server || answer.code == words.too_many;
    return is_promise ? statement_outcome::refused : statement_outcome::failed;
}

} // namespace

session::session(context& shared, net::ip::tcp::socket socket, std::uint64_t number)
    : shared_(shared), socket_(std::move(socket)), idle_timer_(shared.executor), number_(number),
      execution_(shared, state_)
{
}

line_answer session::done() const
{
    line_answer answer;
    answer.signature = "-";
    return answer;
}

net::awaitable<session::read_result> session::read_line(std::string& line)
{
    while (true) {
        const std::size_t end = input_.find('\n', consumed_);
        if (end != std::string::npos) {
            line.assign(input_, consumed_, end - consumed_);
            consumed_ = end + 1;
            if (consumed_ == input_.size()) {
                input_.clear();
                consumed_ = 0;
            }
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            co_return read_result::line;
        }
        if (input_.size() - consumed_ > config::max_line_bytes) {
            co_return read_result::too_large;
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        const std::size_t held = input_.size();
        holds_part_ = held > 0;
        input_.resize(held + read_bytes);
        const auto [failed, size] = co_await socket_.async_read_some(
            net::buffer(input_.data() + held, read_bytes), no_throw);
        input_.resize(held + (failed ? 0 : size));
        if (failed) {
            co_return read_result::closed;
        }
    }
}

void session::write_answer(const line_answer& answer)
{
    const line_dialect& words = shared_.dialect;
    for (const std::string& row : answer.rows) {
        fmt::format_to(std::back_inserter(output_), "{} {}\r\n", words.row, row);
    }
    if (answer.is_error) {
        fmt::format_to(std::back_inserter(output_), "{} {} {}\r\n", words.failed, answer.code,
                       answer.text.empty() ? "-" : answer.text);
    }
    else {
        fmt::format_to(std::back_inserter(output_), "{} {}\r\n", words.complete, answer.signature);
    }
    const std::string_view state = has_failed_ ? "E" : execution_.is_open() ? "T" : "I";
    fmt::format_to(std::back_inserter(output_), "{} {} {}\r\n", words.ready, state,
                   format_position(answer.position));
}

net::awaitable<bool> session::flush()
{
    const std::string sent = std::exchange(output_, {});
    const auto [failed, size] = co_await net::async_write(socket_, net::buffer(sent), no_throw);
    co_return !failed;
}

std::optional<line_answer> session::check_key() const
{
    const std::shared_ptr<const document>& present = shared_.control.present();
    if (!shared_.control.is_confirmed(clock::now())) {
        return own_failure(answer_cause::unconfirmed, shared_.dialect.busy,
                           "not run: this instance is cut off from control; use another one");
    }
    const document_route* const route = present->route(database_);
    if (route == nullptr) {
        return own_failure(answer_cause::database, shared_.dialect.unknown_database,
                           fmt::format("there is no database {}", database_));
    }
    if (!route->is_public && present->organisation_for_key(key_) == nullptr) {
        return own_failure(answer_cause::key, shared_.dialect.denied, "the key is not valid");
    }
    return std::nullopt;
}

net::awaitable<bool> session::start()
{
    idle_timer_.expires_after(startup_timeout);
    idle_timer_.async_wait([self = weak_from_this()](const boost::system::error_code& failed) {
        const std::shared_ptr<session> live = self.lock();
        if (!failed && live) {
            boost::system::error_code ignored; // nothing is under way
            live->socket_.close(ignored);
        }
    });
    std::string line;
    const read_result read = co_await read_line(line);
    idle_timer_.cancel();
    const split_words word = split_first(line);
    std::optional<line_answer> refused;
    if (read == read_result::closed) {
        co_return false;
    }
    if (read == read_result::too_large) {
        refused =
            own_failure(answer_cause::request, shared_.dialect.too_large, "the line is too long");
    }
    else if (word.first != shared_.dialect.startup || word.rest.empty()) {
        refused = own_failure(answer_cause::request, shared_.dialect.malformed,
                              "a session begins with its database");
    }
    else {
        const split_words database = split_first(word.rest);
        database_ = database.first;
        key_ = database.rest;
        refused = check_key();
    }
    if (refused) {
        shared_.events.decision("session", "refused")
            .field("session", static_cast<std::int64_t>(number_))
            .field("database", database_)
            .field("code", refused->code)
            .field("reason", refused->text);
        output_ = fmt::format("{} {} {}\r\n", shared_.dialect.failed, refused->code, refused->text);
        co_await flush();
        co_return false;
    }
    output_ = fmt::format("{} I -\r\n", shared_.dialect.ready);
    co_return co_await flush();
}

// Takes an operation's terms and its token; the refusal when it may not begin.
net::awaitable<std::optional<line_answer>> session::admit(operation& into)
{
    std::optional<line_answer> refused = check_key();
    if (refused) {
        co_return refused;
    }
    const clock::time_point now = clock::now();
    into.terms = shared_.control.present();
    into.route = into.terms->route(database_);
    into.began_at = now;
    const document_organisation* const holder = into.terms->organisation_for_key(key_);
    if (holder == nullptr) {
        co_return std::nullopt;
    }
    into.organisation = holder->name;
    limiter* const limits = shared_.control.limits_of(into.organisation);
    if (limits == nullptr || limits->take(now)) {
        co_return std::nullopt;
    }
    const bool has_borrowed = co_await shared_.control.borrow(into.organisation);
    shared_.numbers.borrowed(has_borrowed);
    shared_.numbers.spent(statement_phase::admission, clock::now() - now);
    if (has_borrowed) {
        co_return std::nullopt;
    }
    limiter* const still = shared_.control.limits_of(into.organisation);
    const std::int64_t wait_ms = still == nullptr ? 0 : still->retry_after().count();
    co_return own_failure(answer_cause::rate, shared_.dialect.too_many,
                          fmt::format("not run: beyond the rate of {}; retry after {} ms",
                                      into.organisation, wait_ms));
}

line_answer session::change_state(const line_statement& statement)
{
    const line_dialect& words = shared_.dialect;
    if (statement.kind == statement_kind::set) {
        if (state_.values.size() >= config::max_session_values &&
            !state_.values.contains(statement.name)) {
            return own_failure(answer_cause::request, words.too_large,
                               "the session holds too many values");
        }
        state_.values.insert_or_assign(std::string(statement.name),
                                       std::string(statement.arguments));
        return done();
    }
    if (statement.kind == statement_kind::deallocate) {
        const auto found = state_.prepared.find(statement.name);
        if (found == state_.prepared.end()) {
            return own_failure(answer_cause::request, words.unknown_statement,
                               "this name is not prepared");
        }
        state_.prepared.erase(found);
        return done();
    }
    if (state_.prepared.size() >= config::max_session_statements &&
        !state_.prepared.contains(statement.name)) {
        return own_failure(answer_cause::request, words.too_large,
                           "the session holds too many prepared statements");
    }
    prepared_statement made;
    made.is_write = statement.kind == statement_kind::prepare_write;
    made.shape = statement.arguments;
    made.pool_name = pool_name_of(made.is_write, made.shape);
    state_.prepared.insert_or_assign(std::string(statement.name), std::move(made));
    return done();
}

std::optional<line_answer> session::translate(const line_statement& statement,
                                              std::string_view text, server_statement& into) const
{
    into.is_write = statement.kind == statement_kind::write;
    into.text = text;
    if (statement.kind != statement_kind::execute) {
        return std::nullopt;
    }
    const auto found = state_.prepared.find(statement.name);
    if (found == state_.prepared.end()) {
        return own_failure(answer_cause::request, shared_.dialect.unknown_statement,
                           "this name is not prepared");
    }
    into.is_write = found->second.is_write;
    into.needed = &found->second;
    into.text = fmt::format("{} {} {}", shared_.dialect.execute, found->second.pool_name,
                            statement.arguments);
    return std::nullopt;
}

net::awaitable<line_answer> session::begin_transaction(bool read_only)
{
    if (execution_.is_open()) {
        co_return own_failure(answer_cause::request, shared_.dialect.malformed,
                              "a transaction is open already");
    }
    operation under;
    std::optional<line_answer> refused = co_await admit(under);
    if (refused) {
        co_return std::move(*refused);
    }
    execution_.begin(under, read_only);
    co_return done();
}

net::awaitable<line_answer> session::end_transaction(const std::string& id, bool commit)
{
    if (has_failed_) {
        has_failed_ = false;
        execution_.roll_back();
        co_return commit ? own_failure(answer_cause::transaction, shared_.dialect.aborted,
                                       "rolled back: " + failure_reason_)
                         : done();
    }
    if (!execution_.is_open()) {
        co_return own_failure(answer_cause::request, shared_.dialect.malformed,
                              "no transaction is open");
    }
    if (!commit) {
        execution_.roll_back();
        co_return done();
    }
    std::optional<line_answer> refused = check_key();
    if (refused) {
        execution_.roll_back();
        refused->code = shared_.dialect.aborted;
        co_return std::move(*refused);
    }
    co_return co_await execution_.commit(id);
}

net::awaitable<line_answer> session::run_statement(const std::string& id,
                                                   const line_statement& statement,
                                                   std::string_view text)
{
    server_statement what;
    what.id = id;
    std::optional<line_answer> refused = translate(statement, text, what);
    if (refused) {
        co_return std::move(*refused);
    }
    // The text of a prepared statement must outlive a DEALLOCATE, which can't come meanwhile.
    if (execution_.is_open()) {
        refused = check_key();
        if (refused) {
            execution_.roll_back();
            co_return std::move(*refused);
        }
        line_answer made = co_await execution_.run(what);
        give_back_unused(execution_.transaction());
        co_return made;
    }
    operation under;
    refused = co_await admit(under);
    if (refused) {
        co_return std::move(*refused);
    }
    line_answer made = co_await execution_.run_single(under, what);
    give_back_unused(under);
    co_return made;
}

// What never reached a server doesn't count against the organisation's rate.
void session::give_back_unused(const operation& under)
{
    limiter* const limits = shared_.control.limits_of(under.organisation);
    if (limits != nullptr && !execution_.has_reached_server()) {
        limits->give_back();
    }
}

net::awaitable<line_answer> session::answer(const std::string& id, std::string_view text)
{
    const line_statement statement = parse_statement(text, shared_.dialect);
    const bool was_open = execution_.is_open();
    line_answer made;
    if (statement.kind == statement_kind::commit || statement.kind == statement_kind::rollback) {
        made = co_await end_transaction(id, statement.kind == statement_kind::commit);
        co_return made;
    }
    if (has_failed_) {
        co_return own_failure(answer_cause::transaction, shared_.dialect.malformed,
                              "the transaction failed: end it first");
    }
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read_only:
        made = co_await begin_transaction(statement.kind == statement_kind::begin_read_only);
        break;
    case statement_kind::set:
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
    case statement_kind::deallocate:
        made = change_state(statement);
        break;
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        made = co_await run_statement(id, statement, text);
        break;
    default:
        made = own_failure(answer_cause::request, shared_.dialect.malformed,
                           "this statement can't be read");
    }
    if (was_open && made.is_error) {
        execution_.roll_back();
        has_failed_ = true;
        failure_reason_ = fmt::format("a statement failed ({})", made.code);
    }
    co_return made;
}

void session::note(const std::string& id, std::string_view text, const line_answer& answer,
                   clock::time_point began_at)
{
    const clock::time_point now = clock::now();
    const statement_outcome outcome = outcome_of(answer, shared_.dialect);
    const std::shared_ptr<const document>& present = shared_.control.present();
    shared_.numbers.answered(outcome, answer.cause, present ? present->route(database_) : nullptr,
                             static_cast<double>((now - began_at).count()));
    static std::uint64_t served = 0;
    if (outcome == statement_outcome::done && ++served % sample_every != 0) {
        return;
    }
    const event_weight weight =
        outcome == statement_outcome::done ? event_weight::detail : event_weight::decision;
    event_line line(shared_.events, weight, "statement", name_of(outcome));
    line.field("id", id)
        .field("session", static_cast<std::int64_t>(number_))
        .field("database", database_)
        .field("verb", split_first(text).first)
        .field("server", execution_.last_server())
        .field("attempts", static_cast<std::int64_t>(execution_.attempts()))
        .field("took_ms", (now - began_at).count())
        .field("connection_ms", execution_.connection_wait().count())
        .field("document",
               present ? static_cast<std::int64_t>(present->version()) : std::int64_t{0})
        .field("confirmed_ms_ago", (now - shared_.control.confirmed_at()).count());
    if (answer.is_error) {
        line.field("code", answer.code)
            .field("cause", name_of(answer.cause))
            .field("reason", answer.text);
        note_inputs(line, answer.cause);
    }
}

// What decided an error that this instance made itself.
void session::note_inputs(event_line& line, answer_cause cause) const
{
    const clock::time_point now = clock::now();
    const std::shared_ptr<const document>& present = shared_.control.present();
    const document_route* const route = present ? present->route(database_) : nullptr;
    const document_organisation* const holder =
        present ? present->organisation_for_key(key_) : nullptr;
    limiter* const limits = holder ? shared_.control.limits_of(holder->name) : nullptr;
    if (cause == answer_cause::rate && limits != nullptr) {
        line.field("organisation", holder->name)
            .field("rate", static_cast<std::int64_t>(holder->rate))
            .field("share_ppm", static_cast<std::int64_t>(limits->share()))
            .field("leader_heard_ms_ago", (now - shared_.control.heard_at()).count());
        return;
    }
    const bool is_of_servers =
        cause == answer_cause::crowded || cause == answer_cause::no_primary ||
        cause == answer_cause::no_server || cause == answer_cause::server_silent ||
        cause == answer_cause::overloaded;
    if (!is_of_servers || route == nullptr) {
        return;
    }
    const group_view seen = shared_.connections.view_of(route->group, now);
    line.field("group", route->group)
        .field("primary", seen.primary)
        .field("primary_failing_ms", seen.primary_failing_for.count())
        .field("waiting", static_cast<std::int64_t>(seen.waiting))
        .field("servers_avoided", static_cast<std::int64_t>(seen.avoided))
        .field("position_ms_ago", seen.position_age ? seen.position_age->count() : -1);
}

// False when the session is over.
net::awaitable<bool> session::serve(const std::string& line)
{
    const line_dialect& words = shared_.dialect;
    const split_words word = split_first(line);
    if (word.first == words.terminate) {
        co_return false;
    }
    const split_words query = split_first(word.rest);
    line_answer made;
    const clock::time_point began_at = clock::now();
    if (word.first != words.query || query.first.empty()) {
        made = own_failure(answer_cause::request, words.malformed, "this message can't be read");
    }
    else {
        const std::string id(query.first);
        made = co_await answer(id, query.rest);
        note(id, query.rest, made, began_at);
    }
    write_answer(made);
    co_return co_await flush();
}

void session::abort_transaction(std::string_view reason)
{
    if (!execution_.is_open() || is_busy_) {
        return;
    }
    execution_.roll_back();
    has_failed_ = true;
    failure_reason_ = reason;
    shared_.events.decision("session", "transaction_ended")
        .field("session", static_cast<std::int64_t>(number_))
        .field("database", database_)
        .field("reason", reason);
}

// Ends a transaction whose caller rests for too long: it holds a connection that others need.
void session::watch_idle_transaction()
{
    if (!execution_.is_open()) {
        return;
    }
    const clock::duration limit =
        execution_.transaction().terms->content().idle_transaction_timeout;
    idle_timer_.expires_at(steady(clock::now() + limit));
    idle_timer_.async_wait([self = weak_from_this()](const boost::system::error_code& failed) {
        const std::shared_ptr<session> live = self.lock();
        if (!failed && live) {
            live->abort_transaction("the transaction was idle for too long");
        }
    });
}

bool session::close_if_idle()
{
    if (is_busy_ || execution_.is_open() || has_failed_ || holds_part_) {
        return false;
    }
    // A statement may have arrived that was not read yet.
    if (socket_.is_open()) {
        boost::system::error_code failed;
        if (socket_.available(failed) > 0 && !failed) {
            return false;
        }
        socket_.shutdown(net::ip::tcp::socket::shutdown_both, failed);
        socket_.close(failed);
    }
    return true;
}

net::awaitable<void> session::run()
{
    const std::shared_ptr<session> self = shared_from_this();
    bool goes_on = co_await start();
    std::string line;
    while (goes_on) {
        is_busy_ = false;
        watch_idle_transaction();
        const read_result read = co_await read_line(line);
        idle_timer_.cancel();
        if (read == read_result::closed) {
            break;
        }
        is_busy_ = true;
        if (read == read_result::too_large) {
            output_ = fmt::format("{} {} the line is too long\r\n", shared_.dialect.failed,
                                  shared_.dialect.too_large);
            co_await flush();
            break;
        }
        goes_on = co_await serve(line);
        const bool may_end = !execution_.is_open() && !has_failed_;
        goes_on = goes_on && !(shared_.closes_sessions && may_end);
    }
    is_busy_ = false;
    execution_.roll_back();
    boost::system::error_code ignored; // the session is over either way
    socket_.close(ignored);
}

} // namespace primrosehead::pooler
