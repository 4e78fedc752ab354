// Transactions of the request pipeline: their tickets and pinned connections.
#include "entry_answer.h"
#include "entry_pipeline.h"
#include "seal.h"

#include <primrosehead/gateway.h>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr std::string_view ticket_prefix = "t1.";

error refusal_of(error_kind kind, std::string message, std::string remedy)
{
    return error{kind, std::move(message), std::move(remedy)};
}

} // namespace

net::awaitable<http::response> entry_pipeline::begin(const http::request& received,
                                                     const std::string& request_id)
{
    result<caller_request> parsed_request = parse_caller_request(received.body, body_kind::begin);
    if (!ok(parsed_request)) {
        co_return reject(failure(parsed_request), request_id);
    }
    result<call_context> prepared = prepare(received, value(parsed_request), request_id);
    if (!ok(prepared)) {
        co_return reject(failure(prepared), request_id);
    }
    call_context& call = value(prepared);
    const bool writes = value(parsed_request).mode == access::write;
    if (writes && call.route.access == access::read) {
        const error refused =
            refusal_of(error_kind::forbidden, "Route " + call.route.name.text() + " is read-only.",
                       "Begin the transaction on a route that allows writes.");
        co_return reject(refused, request_id);
    }
    const status admitted = co_await admit(call);
    if (!ok(admitted)) {
        co_return reject(failure(admitted), request_id);
    }
    call.route.access = writes ? access::write : access::read;
    pb::backend_request request = make_backend_request(call);
    request.set_operation(pb::BACKEND_BEGIN);
    request.set_write(writes);
    const reply_result outcome = co_await run_with_retries(call, request);
    std::string transaction;
    if (ok(outcome)) {
        pb::transaction_ticket ticket;
        ticket.set_handle(value(outcome).transaction());
        ticket.set_organisation(call.organisation.text());
        ticket.set_database(call.route.database.text());
        ticket.set_route(call.route.name.text());
        ticket.set_write(writes);
        ticket.set_term(value(outcome).at().term());
        ticket.set_trial(call.target_stage == stage::trial);
        transaction = seal(ticket_prefix, ticket.SerializeAsString(), settings_.session_secret);
    }
    const bool needs_confirmation = false;
    co_return co_await finish(call, outcome, needs_confirmation, transaction);
}

result<pb::transaction_ticket> entry_pipeline::verify_ticket(const http::request& received,
                                                             std::string_view token) const
{
    const auto bytes = unseal(ticket_prefix, token, settings_.session_secret);
    pb::transaction_ticket ticket;
    if (!bytes || !ticket.ParseFromString(*bytes)) {
        return refusal_of(error_kind::unknown_transaction, "Unknown transaction.",
                          "Use the id that the response to the begin request returned.");
    }
    const bool trial = stage_from_header(received) == stage::trial;
    if (trial != ticket.trial()) {
        return refusal_of(error_kind::unknown_transaction,
                          "The transaction was begun in a different stage.",
                          "Send the same Primrose-Stage header as in the begin request.");
    }
    return ticket;
}

net::awaitable<http::response> entry_pipeline::run_in_transaction(const http::request& received,
                                                                  const call_target& target,
                                                                  const std::string& request_id)
{
    const bool is_statement = target.kind == call_kind::transaction_statement;
    result<caller_request> parsed_request = parse_caller_request(
        received.body, is_statement ? body_kind::statement_in_transaction : body_kind::end);
    if (!ok(parsed_request)) {
        co_return reject(failure(parsed_request), request_id);
    }
    result<pb::transaction_ticket> verified = verify_ticket(received, target.transaction);
    if (!ok(verified)) {
        co_return reject(failure(verified), request_id);
    }
    const pb::transaction_ticket& ticket = value(verified);
    value(parsed_request).database = database_name(ticket.database());
    value(parsed_request).route = route_name(ticket.route());
    result<call_context> prepared = prepare(received, value(parsed_request), request_id);
    if (!ok(prepared)) {
        co_return reject(failure(prepared), request_id);
    }
    call_context& call = value(prepared);
    if (call.organisation.text() != ticket.organisation()) {
        const error refused =
            refusal_of(error_kind::forbidden, "The transaction belongs to another organisation.",
                       "Use an API key of the organisation that began it.");
        co_return reject(refused, request_id);
    }
    if (is_statement) {
        const status admitted = co_await admit(call);
        if (!ok(admitted)) {
            co_return reject(failure(admitted), request_id);
        }
    }
    pb::backend_request request = make_backend_request(call);
    request.set_transaction(ticket.handle());
    request.set_write(ticket.write());
    request.set_term(ticket.term());
    const bool commits = target.kind == call_kind::commit;
    request.set_operation(is_statement ? pb::BACKEND_EXECUTE
                                       : (commits ? pb::BACKEND_COMMIT : pb::BACKEND_ROLLBACK));
    request.set_statement(value(parsed_request).statement);
    if (commits && ticket.write()) {
        request.set_idempotency_id(call.idempotency_id);
    }
    const reply_result outcome = co_await servers_->run(std::move(request), call.deadline);
    record_decision(request_id, "route",
                    "pinned connection for " + call.organisation.text() + " on " +
                        ticket.database(),
                    ok(outcome) ? "done" : describe(failure(outcome)));
    const std::string no_transaction;
    co_return co_await finish(call, outcome, commits && ticket.write(), no_transaction);
}

} // namespace primrosehead
