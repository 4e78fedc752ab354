#include "entry_pipeline.h"

#include "entry_allowances.h"
#include "entry_answer.h"
#include "entry_follower.h"
#include "entry_metrics.h"

#include <primrosehead/config.h>
#include <primrosehead/decision_log.h>
#include <primrosehead/gateway.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr std::string_view public_organisation = "public"; // organisation of callers without a key
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr clock::duration grant_poll_interval{1};
constexpr clock::duration max_grant_wait{50};
constexpr clock::duration lease_poll_interval{5};
// Time to receive a state version that the caller has already seen.
constexpr clock::duration catch_up_retry_after{100};
constexpr clock::duration term_change_retry_after{200};
constexpr double max_retry_tokens = 10; // retries available to an instance with little traffic

net::awaitable<void> sleep_for(clock::duration time)
{
    net::steady_timer timer(co_await net::this_coro::executor, std::chrono::milliseconds(time));
    co_await timer.async_wait(net::use_awaitable);
}

error make_error(error_kind kind, std::string message, std::string remedy,
                 clock::duration retry_after = clock::duration(0))
{
    return error{kind, std::move(message), std::move(remedy), ran::no, retry_after};
}

std::string_view bearer_token(const http::request& received)
{
    const std::string_view value = received.header_value("Authorization");
    return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : value;
}

bool is_route_allowed(const route_settings& route, const organisation_name& organisation)
{
    const auto& allowed = route.organisations;
    return allowed.empty() ||
           std::find(allowed.begin(), allowed.end(), organisation) != allowed.end();
}

// Derives the id under which the database deduplicates a request. It is a hash, so the caller's
// text never reaches the database.
std::string make_idempotency_id(const call_context& call, std::string_view key)
{
    const std::string text =
        call.organisation.text() + '\n' + call.route.name.text() + '\n' + std::string(key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

} // namespace

entry_pipeline::entry_pipeline(const entry_settings& settings, std::uint64_t incarnation,
                               std::shared_ptr<gateway> servers, entry_follower& follower,
                               entry_allowances& allowances, decision_log& decisions,
                               entry_metrics& metrics)
    : settings_(settings), incarnation_(incarnation), servers_(std::move(servers)),
      follower_(follower), allowances_(allowances), decisions_(decisions), metrics_(metrics),
      budget_(policy_settings().retry_share, max_retry_tokens)
{
}

std::string entry_pipeline::next_request_id()
{
    return settings_.instance.text() + "-" + std::to_string(incarnation_) + "-" +
           std::to_string(next_request_.fetch_add(1));
}

net::awaitable<http::response> entry_pipeline::handle(const http::request& received)
{
    const std::string request_id = next_request_id();
    const auto start_time = std::chrono::steady_clock::now();
    http::response answer = co_await dispatch(received, request_id);
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start_time;
    const std::string_view kind = answer.header_value(problem_kind_header);
    if (kind.empty()) {
        metrics_.record_success(elapsed.count());
    }
    else {
        metrics_.record_failure(parse_error_kind(kind), elapsed.count());
    }
    co_return answer;
}

void entry_pipeline::record_decision(const std::string& request_id, std::string_view part,
                                     std::string choice, std::string reason)
{
    decisions_.record(
        {request_id, to_ms(clock::now()), std::string(part), std::move(choice), std::move(reason)});
}

http::response entry_pipeline::reject(const error& failure, const std::string& request_id)
{
    record_decision(request_id, "answer", std::string(to_string(failure.kind)), failure.message);
    return problem_response(failure, request_id);
}

net::awaitable<http::response> entry_pipeline::dispatch(const http::request& received,
                                                        const std::string& request_id)
{
    const call_target target = parse_target(received.target);
    if (target.kind == call_kind::unknown || received.method != "POST") {
        error refused =
            make_error(error_kind::bad_request,
                       received.method + " " + received.target + " is not a known request.",
                       "See docs/API.md for the supported requests.");
        co_return reject(refused, request_id);
    }
    if (target.kind == call_kind::statement) {
        co_return co_await run_statement(received, request_id);
    }
    if (target.kind == call_kind::begin) {
        co_return co_await begin(received, request_id);
    }
    co_return co_await run_in_transaction(received, target, request_id);
}

status entry_pipeline::authorise(const http::request& received, const entry_view& view,
                                 call_context& call) const
{
    const std::string_view bearer = bearer_token(received);
    if (bearer.empty() && call.route.open) {
        call.organisation = organisation_name(public_organisation);
        return std::monostate{};
    }
    if (follower_.key_table_age(clock::now()) > call.policy.key_bound) {
        return make_error(
            error_kind::stale_keys, "This instance cannot confirm that API keys are still valid.",
            "Retry later, use another instance, or use a public route.", call.policy.key_bound);
    }
    result<organisation_name> verified_organisation = view.keys().verify(bearer);
    if (!ok(verified_organisation)) {
        return failure(verified_organisation);
    }
    call.organisation = value(verified_organisation);
    if (!call.route.open && !is_route_allowed(call.route, call.organisation)) {
        return make_error(error_kind::forbidden,
                          "Route " + call.route.name.text() + " does not serve this organisation.",
                          "Use a key of an organisation that the route names.");
    }
    return std::monostate{};
}

status entry_pipeline::read_session(const http::request& received, call_context& call) const
{
    const std::string_view token = received.header_value("Primrose-Session");
    if (token.empty()) {
        return std::monostate{};
    }
    result<session> opened = session::from_token(token, settings_.session_secret);
    if (!ok(opened)) {
        return failure(opened);
    }
    call.caller_session = std::move(value(opened));
    call.min_position = call.caller_session.position_of(call.route.database);
    switch (classify_position(call.min_position, call.group.term_starts)) {
    case position_status::retained:
        return std::monostate{};
    case position_status::lost:
        return make_error(
            error_kind::session_write_lost,
            "A write that this session has observed was lost in a failover.",
            "Start a new session, read the data again and repeat lost writes as needed.");
    case position_status::unknown:
        break;
    }
    return make_error(error_kind::behind,
                      "This instance does not know the term of this session yet.",
                      "Retry shortly or use another instance.", catch_up_retry_after);
}

result<call_context> entry_pipeline::prepare(const http::request& received,
                                             const caller_request& parsed_request,
                                             const std::string& request_id) const
{
    call_context call;
    call.request_id = request_id;
    call.target_stage = stage_from_header(received);
    const status prepared = follower_.read([&](const entry_view& view) -> status {
        const environment* const document = view.document(call.target_stage);
        if (document == nullptr) {
            return make_error(
                error_kind::no_replica, "This instance has not loaded an environment yet.",
                "Retry shortly. Operators: promote an environment.", catch_up_retry_after);
        }
        const route_settings* const route = document->find(parsed_request.route);
        if (route == nullptr) {
            return make_error(error_kind::unknown_route,
                              "Unknown route " + parsed_request.route.text() + ".",
                              "Use a route that the environment's document defines.");
        }
        const database_settings* const database = document->find(parsed_request.database);
        if (database == nullptr || route->database != parsed_request.database) {
            return make_error(error_kind::unknown_database,
                              "Route " + parsed_request.route.text() +
                                  " does not belong to database " + parsed_request.database.text() +
                                  ".",
                              "Send the name of the database that the route belongs to.");
        }
        call.route = *route;
        call.policy = document->policies;
        call.durability = database->durability;
        if (const group_term* const group = view.group(parsed_request.database)) {
            call.group = *group;
        }
        const status allowed = authorise(received, view, call);
        if (!ok(allowed)) {
            return allowed;
        }
        if (const organisation_settings* const contract = document->find(call.organisation)) {
            call.weight = contract->weight;
        }
        return read_session(received, call);
    });
    if (!ok(prepared)) {
        return failure(prepared);
    }
    const clock::duration requested_timeout = parsed_request.timeout.value_or(call.route.timeout);
    call.deadline = clock::now() + std::min(requested_timeout, call.route.timeout);
    call.max_age = call.route.max_age;
    if (parsed_request.max_age) {
        call.max_age = call.max_age.count() == 0 ? *parsed_request.max_age
                                                 : std::min(*parsed_request.max_age, call.max_age);
    }
    const std::string_view key = received.header_value("Idempotency-Key");
    if (key.size() > config::max_idempotency_key_bytes) {
        return make_error(error_kind::bad_request, "The Idempotency-Key exceeds 128 bytes.",
                          "Send a key of at most 128 bytes.");
    }
    if (!key.empty()) {
        call.idempotency_id = make_idempotency_id(call, key);
    }
    return call;
}

pb::backend_request entry_pipeline::make_backend_request(const call_context& call) const
{
    pb::backend_request request;
    request.set_request_id(call.request_id);
    request.set_organisation(call.organisation.text());
    request.set_database(call.route.database.text());
    request.set_term(call.group.term);
    request.mutable_minimum()->set_term(call.min_position.term);
    request.mutable_minimum()->set_index(call.min_position.index);
    request.set_durability(call.durability == durability::replica ? "replica" : "primary");
    request.set_weight(call.weight);
    return request;
}

// Takes tokens for the request. If too few are available, waits up to `max_grant_wait` for the
// reply to a heartbeat that reports this demand, and then decides. Rejects without waiting if the
// last reply granted too little to help, or if the control leader does not respond.
net::awaitable<status> entry_pipeline::admit(const call_context& call)
{
    clock::time_point now = clock::now();
    const clock::time_point limit = std::min(call.deadline, now + max_grant_wait);
    entry_allowances::admission outcome = allowances_.take(call.organisation, false, now);
    const std::uint64_t reporting_sequence = follower_.next_sequence();
    bool is_final = !follower_.is_leader_responsive(now);
    while (!outcome.admitted && !outcome.is_exhausted && !is_final && now < limit) {
        if (outcome.is_low) {
            follower_.request_heartbeat();
        }
        co_await sleep_for(grant_poll_interval);
        now = clock::now();
        is_final = follower_.is_answered(reporting_sequence);
        outcome = allowances_.take(call.organisation, true, now);
    }
    if (outcome.is_low) {
        follower_.request_heartbeat();
    }
    if (outcome.admitted) {
        co_return std::monostate{};
    }
    record_decision(call.request_id, "limits", "refused " + call.organisation.text(),
                    "no tokens granted");
    co_return make_error(error_kind::rate_limited,
                         "Organisation " + call.organisation.text() +
                             " has exceeded its rate and burst limits.",
                         "Retry after retry_after_ms.", outcome.retry_after);
}

// Waits until a write may be acknowledged: the instance's lease must be valid, and `term`, in which
// the write ran, must still be the current one.
net::awaitable<status> entry_pipeline::confirm_write(const call_context& call, std::uint64_t term)
{
    while (true) {
        const clock::time_point now = clock::now();
        const std::uint64_t current_term = follower_.read([&](const entry_view& view) {
            const group_term* const group = view.group(call.route.database);
            return group == nullptr || group->primary.empty() ? 0 : group->term;
        });
        if (current_term != term) {
            co_return error{error_kind::wrong_term,
                            "The primary changed while the write was running.",
                            "Check whether the write took effect, or resend it with its "
                            "Idempotency-Key.",
                            ran::unknown, term_change_retry_after};
        }
        if (follower_.has_lease(now)) {
            co_return std::monostate{};
        }
        if (now >= call.deadline) {
            co_return error{
                error_kind::timed_out,
                "The write ran, but this instance could not confirm the primary's term.",
                "Check whether the write took effect, or resend it with its "
                "Idempotency-Key.",
                ran::unknown, term_change_retry_after};
        }
        co_await sleep_for(lease_poll_interval);
    }
}

net::awaitable<http::response> entry_pipeline::finish(call_context& call,
                                                      const reply_result& outcome,
                                                      bool needs_confirmation,
                                                      const std::string& transaction)
{
    if (!ok(outcome)) {
        co_return reject(failure(outcome), call.request_id);
    }
    const pb::backend_reply& reply = value(outcome);
    const log_position position{reply.at().term(), reply.at().index()};
    if (needs_confirmation) {
        const status confirmed = co_await confirm_write(call, position.term);
        if (!ok(confirmed)) {
            co_return reject(failure(confirmed), call.request_id);
        }
    }
    const status advanced = call.caller_session.advance(call.route.database, position);
    if (!ok(advanced)) {
        error refused = failure(advanced);
        refused.ran = needs_confirmation ? ran::unknown : ran::no;
        co_return reject(refused, call.request_id);
    }
    co_return success_response(reply, transaction,
                               call.caller_session.to_token(settings_.session_secret),
                               call.request_id);
}

net::awaitable<http::response> entry_pipeline::run_statement(const http::request& received,
                                                             const std::string& request_id)
{
    result<caller_request> parsed_request =
        parse_caller_request(received.body, body_kind::statement);
    if (!ok(parsed_request)) {
        co_return reject(failure(parsed_request), request_id);
    }
    result<call_context> prepared = prepare(received, value(parsed_request), request_id);
    if (!ok(prepared)) {
        co_return reject(failure(prepared), request_id);
    }
    call_context& call = value(prepared);
    const status admitted = co_await admit(call);
    if (!ok(admitted)) {
        co_return reject(failure(admitted), request_id);
    }
    const bool writes = call.route.access == access::write;
    pb::backend_request request = make_backend_request(call);
    request.set_operation(pb::BACKEND_EXECUTE);
    request.set_statement(value(parsed_request).statement);
    request.set_write(writes);
    if (writes) {
        request.set_idempotency_id(call.idempotency_id);
    }
    const reply_result outcome = co_await run_with_retries(call, request);
    const std::string no_transaction;
    co_return co_await finish(call, outcome, writes, no_transaction);
}

} // namespace primrosehead
