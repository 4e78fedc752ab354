#include "gateway_wire.h"

#include "gateway_errors.h"
#include "json_field_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace primrosehead::gateway_wire {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::string_view target_for(pb::backend_operation operation)
{
    switch (operation) {
    case pb::BACKEND_BEGIN:
        return "/v1/begin";
    case pb::BACKEND_COMMIT:
        return "/v1/commit";
    case pb::BACKEND_ROLLBACK:
        return "/v1/rollback";
    default:
        return "/v1/execute";
    }
}

void add_minimum(json::object& body, const pb::backend_request& request)
{
    if (request.has_minimum()) {
        body["minimum"] =
            json::object{{"term", request.minimum().term()}, {"index", request.minimum().index()}};
    }
}

void add_durability(json::object& body, const pb::backend_request& request)
{
    body["durability"] = request.durability().empty() ? "replica" : request.durability();
    if (!request.idempotency_id().empty()) {
        body["idempotency_id"] = request.idempotency_id();
    }
}

status add_statement(json::object& body, const pb::backend_request& request)
{
    json::error_code ec;
    json::value statement = json::parse(request.statement(), ec);
    if (ec) {
        return malformed_request("The statement is not valid JSON: " + ec.message() + ".");
    }
    body["statement"] = std::move(statement);
    return std::monostate();
}

decoded_reply unusable_reply(std::string_view what)
{
    return decoded_reply{invalid_reply(what, ran::unknown), false};
}

bool read_position(const json_field_reader& fields, pb::backend_reply& reply)
{
    const auto term = fields.number("term");
    const auto index = fields.number("index");
    if (!term || !index) {
        return false;
    }
    reply.mutable_at()->set_term(*term);
    reply.mutable_at()->set_index(*index);
    return true;
}

bool read_role(const json_field_reader& fields, pb::backend_reply& reply)
{
    const auto role = fields.text("role");
    reply.set_role(std::string(role.value_or("")));
    return role.has_value();
}

bool read_result(const json_field_reader& fields, pb::backend_reply& reply)
{
    const json::value* found = fields.any("result");
    if (found == nullptr) {
        return false;
    }
    reply.set_result(json::serialize(*found));
    reply.set_data_age_ms(fields.number("data_age_ms").value_or(0));
    return true;
}

bool read_transaction(const json_field_reader& fields, pb::backend_reply& reply)
{
    const auto transaction = fields.text("transaction");
    reply.set_transaction(std::string(transaction.value_or("")));
    return transaction.has_value() && !transaction->empty();
}

// Returns false when a field that docs/BACKEND.md requires for the operation is missing.
bool read_fields(const json_field_reader& fields, pb::backend_operation operation,
                 pb::backend_reply& reply)
{
    switch (operation) {
    case pb::BACKEND_BEGIN:
        return read_transaction(fields, reply) && read_position(fields, reply) &&
               read_role(fields, reply);
    case pb::BACKEND_COMMIT:
        return read_position(fields, reply);
    case pb::BACKEND_ROLLBACK:
        return true;
    default:
        return read_result(fields, reply) && read_position(fields, reply) &&
               read_role(fields, reply);
    }
}

decoded_reply decode_success(const pb::backend_request& request, const json_field_reader& fields)
{
    pb::backend_reply reply;
    reply.set_request_id(request.request_id());
    if (!read_fields(fields, request.operation(), reply)) {
        return unusable_reply("The backend server's reply lacks a required field.");
    }
    return decoded_reply{std::move(reply), true};
}

bool is_known_kind(std::string_view name)
{
    return to_string(parse_error_kind(name)) == name;
}

decoded_reply decode_failure(const json_field_reader& fields)
{
    const auto kind = fields.text("kind");
    const auto outcome = fields.text("ran");
    if (!kind || !outcome) {
        return unusable_reply("The backend server's error reply lacks a required field.");
    }
    error refusal;
    refusal.kind = is_known_kind(*kind) ? parse_error_kind(*kind) : error_kind::backend_refused;
    refusal.message = fields.text("message").value_or(*kind);
    refusal.remedy = "Check the statement and the backend server.";
    refusal.ran = *outcome == "no" ? ran::no : ran::unknown;
    refusal.retry_after = clock::duration(fields.number("retry_after_ms").value_or(0));
    return decoded_reply{std::move(refusal), true};
}

// A server at its connection limit rejects the connection without reading the request, so the reply
// has no id.
bool is_connection_refusal(unsigned status, const json_field_reader& fields)
{
    return status == status_unavailable && !fields.any("id") &&
           fields.text("kind") == std::string_view("overloaded");
}

} // namespace

result<encoded_request> encode(const pb::backend_request& request, clock::duration time_left)
{
    json::object body{{"id", request.request_id()}};
    if (!request.transaction().empty()) {
        body["transaction"] = request.transaction();
    }
    if (request.operation() != pb::BACKEND_ROLLBACK) {
        body["term"] = request.term();
        body["timeout_ms"] = std::max<std::int64_t>(1, time_left.count());
    }
    switch (request.operation()) {
    case pb::BACKEND_BEGIN:
        body["mode"] = request.write() ? "write" : "read";
        add_minimum(body, request);
        break;
    case pb::BACKEND_COMMIT:
        add_durability(body, request);
        break;
    case pb::BACKEND_ROLLBACK:
        break;
    default:
        body["write"] = request.write();
        add_minimum(body, request);
        add_durability(body, request);
        if (const status added = add_statement(body, request); !ok(added)) {
            return failure(added);
        }
    }
    return encoded_request{std::string(target_for(request.operation())), json::serialize(body)};
}

decoded_reply decode(const pb::backend_request& request, unsigned status, std::string_view body,
                     id_check check, bool is_first_reply)
{
    json::error_code ec;
    const json::value parsed = json::parse(body, ec);
    if (ec || !parsed.is_object()) {
        return unusable_reply("The backend server's reply is not a JSON object.");
    }
    const json_field_reader fields(parsed.get_object());
    if (is_first_reply && is_connection_refusal(status, fields)) {
        return decoded_reply{no_capacity("The backend server has reached its connection limit.",
                                         clock::duration(100)),
                             false};
    }
    if (check == id_check::by_id && fields.text("id") != request.request_id()) {
        return unusable_reply("The backend server's reply belongs to another request.");
    }
    return status == status_ok ? decode_success(request, fields) : decode_failure(fields);
}

} // namespace primrosehead::gateway_wire
