#include "load_session.h"

#include "lab_json.h"
#include "standin_notifier.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace primrosehead::load {

namespace json = boost::json;
namespace net = boost::asio;

namespace {

constexpr std::size_t group_size = 4;
constexpr std::size_t group_count = 3;
// One in this many acknowledged adds is sent again, as if its answer was lost.
constexpr std::uint64_t resend_one_in = 3;
constexpr std::size_t max_remembered_counters = 4;
constexpr int max_sends = 4; // attempts to send an add, under one Idempotency-Key
constexpr clock::duration resend_pause{50};
constexpr clock::duration answer_grace{500}; // added to the timeout of the request

std::string string_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string();
}

std::uint64_t number_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    boost::system::error_code ec;
    return found != nullptr && found->is_number() ? found->to_number<std::uint64_t>(ec) : 0;
}

json::object parse_object(const std::string& text)
{
    result<json::value> parsed = lab::parse_json(text);
    const bool is_object = ok(parsed) && value(parsed).is_object();
    return is_object ? value(parsed).get_object() : json::object();
}

// Returns the value in the answer to a get or an add as text: "null" if the key has no value,
// "missing" if the answer has no value member.
std::string result_value(const json::object& body)
{
    const json::value* found = body.if_contains("result");
    const json::object* members = found == nullptr ? nullptr : found->if_object();
    const json::value* value = members == nullptr ? nullptr : members->if_contains("value");
    if (value == nullptr) {
        return "missing";
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

std::string get_statement(const std::string& key)
{
    return json::serialize(json::object{{"get", key}});
}

std::string put_statement(const std::string& key, const std::string& value)
{
    return json::serialize(json::object{{"put", key}, {"value", value}});
}

} // namespace

std::int64_t now_us()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

net::awaitable<void> session::run_one()
{
    busy_ = true;
    choose_database();
    const std::string kind = choose_kind();
    if (kind == "write") {
        co_await write();
    }
    else if (kind == "read" && !counters_.empty() && run_->random() % 4 == 0) {
        co_await read_counter();
    }
    else if (kind == "scan") {
        co_await scan();
    }
    else if (kind == "transaction" || kind == "rollback") {
        co_await transaction(kind);
    }
    else if (kind == "add") {
        co_await add();
    }
    else if (kind == "wrong_key") {
        const bool use_foreign_route =
            organisation_.outsider && !database().foreign_route.empty() && run_->random() % 2 == 0;
        const std::string unauthorised_kind = use_foreign_route ? "foreign_route" : "wrong_key";
        co_await attempt_unauthorised_read(unauthorised_kind);
    }
    else {
        co_await read(kind);
    }
    busy_ = false;
}

void session::choose_database()
{
    database_ = &run_->plan.databases[run_->random() % run_->plan.databases.size()];
}

std::string session::choose_kind()
{
    if (run_->plan.direct) {
        return "stale_read";
    }
    const operation_shares& shares = run_->plan.shares;
    std::discrete_distribution<int> choice({shares.write, shares.read, shares.stale_read,
                                            shares.scan, shares.transaction, shares.add,
                                            shares.rollback, shares.wrong_key});
    static constexpr std::array<const char*, 8> names{
        "write", "read", "stale_read", "scan", "transaction", "add", "rollback", "wrong_key"};
    return names.at(static_cast<std::size_t>(choice(run_->random)));
}

const std::string& session::choose_entry()
{
    std::vector<double> weights;
    for (const entry_plan& each : run_->plan.entries) {
        weights.push_back(each.weight);
    }
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    return run_->plan.entries[choice(run_->random)].url;
}

std::string session::group_name()
{
    return "s/" + database().name + "/" + std::to_string(run_->random() % group_count);
}

history::operation session::start(const std::string& kind)
{
    history::operation op;
    op.id = run_->next_operation++;
    op.session = name_;
    op.organisation = organisation_.name;
    op.database = database().name;
    op.kind = kind;
    op.with_token = kind != "stale_read";
    op.outcome = "unknown";
    return op;
}

void session::finish(history::operation& op)
{
    op.done_us = now_us();
    run_->write_line(history::done_line(op));
    ++run_->operations;
    run_->failed += op.outcome == "ok" ? 0 : 1;
    if (op.error == "session_write_lost" || op.error == "bad_token") {
        token_.clear();
    }
}

session::call session::statement(const std::string& route, const std::string& text) const
{
    call outgoing;
    outgoing.key = organisation_.key;
    json::object body{{"database", database().name},
                      {"route", route},
                      {"timeout_ms", run_->plan.timeout.count()}};
    body["statement"] = value(lab::parse_json(text));
    outgoing.target = "/v1/statements";
    if (run_->plan.direct) {
        body = {{"id", "direct"}, {"statement", body["statement"]}, {"timeout_ms", 1'000}};
        outgoing.target = "/v1/execute";
    }
    outgoing.body = json::serialize(body);
    return outgoing;
}

net::awaitable<session::answer> session::send_once(const call& outgoing)
{
    answer reply;
    const std::string url = choose_entry();
    const clock::time_point deadline = clock::now() + run_->plan.timeout + answer_grace;
    std::unique_ptr<http::client>& connection = clients_[url];
    if (connection == nullptr || !connection->is_open()) {
        result<std::unique_ptr<http::client>> opened =
            co_await http::client::connect(url, deadline);
        if (!ok(opened)) {
            reply.error = "connect_failed";
            reply.ran = "no";
            co_return reply;
        }
        connection = std::move(value(opened));
    }
    http::request request;
    request.method = "POST";
    request.target = outgoing.target;
    request.body = outgoing.body;
    if (!outgoing.key.empty() && !run_->plan.direct) {
        request.headers.push_back({"Authorization", "Bearer " + outgoing.key});
    }
    if (outgoing.with_token && !token_.empty()) {
        request.headers.push_back({"Primrose-Session", token_});
    }
    if (!outgoing.idempotency_key.empty()) {
        request.headers.push_back({"Idempotency-Key", outgoing.idempotency_key});
    }
    const result<http::response> outcome = co_await connection->call(request, deadline);
    if (!ok(outcome)) {
        connection.reset();
        reply.error = std::string(to_string(failure(outcome).kind));
        reply.ran = std::string(to_string(failure(outcome).ran));
        co_return reply;
    }
    const http::response& arrived = value(outcome);
    reply.arrived = true;
    reply.status = arrived.status;
    reply.body = arrived.body;
    reply.token = arrived.header_value("Primrose-Session");
    reply.request_id = arrived.header_value("Primrose-Request-Id");
    if (reply.status != 200) {
        const json::object problem = parse_object(reply.body);
        reply.error = string_member(problem, "kind");
        reply.ran = string_member(problem, "ran");
    }
    else {
        reply.role = string_member(parse_object(reply.body), "role");
    }
    co_return reply;
}

void session::record_request(const history::operation& op, const call& outgoing,
                             const answer& reply, std::int64_t called_us)
{
    history::request_event event;
    event.operation = op.id;
    event.organisation = organisation_.name;
    event.database = op.database;
    event.counted =
        outgoing.counted && outgoing.key == organisation_.key && reply.error != "connect_failed";
    event.read = outgoing.read;
    event.called_us = called_us;
    event.done_us = now_us();
    event.status = reply.status;
    event.error = reply.error;
    event.role = reply.role;
    if (reply.arrived && reply.status != 200) {
        event.retry_after_ms =
            static_cast<std::int64_t>(number_member(parse_object(reply.body), "retry_after_ms"));
    }
    run_->write_line(history::request_line(event));
}

net::awaitable<session::answer> session::send(const history::operation& op, const call& outgoing)
{
    const std::int64_t called_us = now_us();
    answer reply = co_await send_once(outgoing);
    record_request(op, outgoing, reply, called_us);
    if (!reply.token.empty() && outgoing.with_token) {
        token_ = reply.token;
    }
    co_return reply;
}

void session::apply_answer(history::operation& op, const answer& reply)
{
    op.status = reply.status;
    op.error = reply.error;
    op.request_id = reply.request_id;
    if (!reply.arrived || reply.status != 200) {
        op.outcome = reply.ran == "no" ? "no" : "unknown";
        return;
    }
    const json::object body = parse_object(reply.body);
    op.outcome = "ok";
    const std::uint64_t index = number_member(body, run_->plan.direct ? "index" : "position");
    op.position = {number_member(body, "term"), index};
    op.served_by = string_member(body, "served_by");
    op.role = string_member(body, "role");
}

net::awaitable<void> session::write()
{
    history::operation op = start("write");
    op.keys = {"w/" + database().name + "/" + std::to_string(run_->random() % run_->plan.keys)};
    op.value = op.keys.front().substr(0, op.keys.front().rfind('/')) + "#" + std::to_string(op.id);
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    const call outgoing =
        statement(database().write_route, put_statement(op.keys.front(), op.value));
    const answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    finish(op);
}

net::awaitable<void> session::read(const std::string& kind)
{
    history::operation op = start(kind);
    const bool stale = kind == "stale_read";
    op.keys = {"w/" + database().name + "/" + std::to_string(run_->random() % run_->plan.keys)};
    op.max_age_ms = stale ? run_->plan.max_age.count() : 0;
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    call outgoing = statement(stale ? database().stale_route : database().read_route,
                              get_statement(op.keys.front()));
    outgoing.read = true;
    outgoing.with_token = !stale;
    if (stale && !run_->plan.direct) {
        json::object body = parse_object(outgoing.body);
        body["max_age_ms"] = op.max_age_ms;
        outgoing.body = json::serialize(body);
    }
    const answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    if (op.outcome == "ok") {
        op.seen = {result_value(parse_object(reply.body))};
    }
    finish(op);
}

net::awaitable<void> session::read_counter()
{
    const added_counter chosen = counters_[run_->random() % counters_.size()];
    for (const database_plan& each : run_->plan.databases) {
        if (each.name == chosen.database) {
            database_ = &each;
        }
    }
    history::operation op = start("read_add");
    op.keys = {chosen.key};
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    call outgoing = statement(database().read_route, get_statement(chosen.key));
    outgoing.read = true;
    const answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    if (op.outcome == "ok") {
        op.seen = {result_value(parse_object(reply.body))};
    }
    finish(op);
}

net::awaitable<void> session::add()
{
    history::operation op = start("add");
    op.keys = {"a/" + database().name + "/" + std::to_string(op.id)};
    op.value = op.keys.front();
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    call outgoing = statement(database().write_route,
                              json::serialize(json::object{{"add", op.keys.front()}, {"by", 1}}));
    outgoing.idempotency_key = "op-" + std::to_string(op.id);
    bool may_have_executed = false;
    answer reply;
    for (int sends = 0; sends < max_sends; ++sends) {
        reply = co_await send(op, outgoing);
        may_have_executed = may_have_executed || (reply.status != 200 && reply.ran != "no");
        const bool is_settled = reply.status == 200 || (reply.ran == "no" && !may_have_executed);
        if (is_settled) {
            break;
        }
        co_await standin::pause_for(resend_pause);
    }
    apply_answer(op, reply);
    if (op.outcome == "no" && may_have_executed) {
        op.outcome = "unknown";
    }
    if (op.outcome == "ok") {
        op.seen = {result_value(parse_object(reply.body))};
    }
    if (op.outcome == "ok" && run_->random() % resend_one_in == 0) {
        const answer repeated = co_await send(op, outgoing);
        if (repeated.status == 200 && op.seen.front() == "1") {
            op.seen = {result_value(parse_object(repeated.body))};
        }
    }
    if (op.outcome != "no") {
        counters_.push_back({op.database, op.keys.front()});
    }
    if (counters_.size() > max_remembered_counters) {
        counters_.pop_front();
    }
    finish(op);
}

net::awaitable<void> session::attempt_unauthorised_read(const std::string& kind)
{
    history::operation op = start(kind);
    const bool use_foreign_route = kind == "foreign_route";
    op.keys = {"w/" + database().name + "/0"};
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    call outgoing = statement(use_foreign_route ? database().foreign_route : database().read_route,
                              get_statement(op.keys.front()));
    outgoing.read = true;
    outgoing.counted = false;
    outgoing.key = use_foreign_route ? organisation_.key : "wrong-" + std::to_string(op.id);
    const answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    finish(op);
}

// Begins a read transaction, reads each key of a group and rolls the transaction back.
net::awaitable<void> session::scan()
{
    history::operation op = start("scan");
    const std::string group = group_name();
    op.called_us = now_us();
    for (std::size_t i = 0; i < group_size; ++i) {
        op.keys.push_back(group + "/" + std::to_string(i));
    }
    run_->write_line(history::call_line(op));
    call outgoing;
    outgoing.key = organisation_.key;
    outgoing.read = true;
    outgoing.target = "/v1/transactions";
    outgoing.body = json::serialize(json::object{{"database", database().name},
                                                 {"route", database().read_route},
                                                 {"mode", "read"},
                                                 {"timeout_ms", run_->plan.timeout.count()}});
    answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    if (op.outcome != "ok") {
        finish(op);
        co_return;
    }
    const std::string transaction = string_member(parse_object(reply.body), "transaction");
    std::vector<std::string> seen;
    for (const std::string& key : op.keys) {
        call statement_call;
        statement_call.key = organisation_.key;
        statement_call.read = true;
        statement_call.target = "/v1/transactions/" + transaction + "/statements";
        statement_call.body = R"({"statement":)" + get_statement(key) + "}";
        reply = co_await send(op, statement_call);
        if (reply.status != 200) {
            break;
        }
        seen.push_back(result_value(parse_object(reply.body)));
    }
    const bool is_complete = seen.size() == op.keys.size();
    if (is_complete) {
        op.seen = std::move(seen);
    }
    else {
        apply_answer(op, reply);
    }
    call end_call;
    end_call.key = organisation_.key;
    end_call.counted = false;
    end_call.target = "/v1/transactions/" + transaction + "/rollback";
    end_call.body = "{}";
    const answer end_reply = co_await send(op, end_call);
    (void)end_reply;
    finish(op);
}

// Writes every key of the group in the transaction and reads the first one back. Returns false if a
// request fails.
net::awaitable<bool> session::put_group(history::operation& op, const std::string& transaction)
{
    for (const std::string& key : op.keys) {
        call statement_call;
        statement_call.key = organisation_.key;
        statement_call.target = "/v1/transactions/" + transaction + "/statements";
        statement_call.body = R"({"statement":)" + put_statement(key, op.value) + "}";
        const answer reply = co_await send(op, statement_call);
        if (reply.status != 200) {
            apply_answer(op, reply);
            co_return false;
        }
    }
    call read_back;
    read_back.key = organisation_.key;
    read_back.target = "/v1/transactions/" + transaction + "/statements";
    read_back.body = R"({"statement":)" + get_statement(op.keys.front()) + "}";
    const answer reply = co_await send(op, read_back);
    if (reply.status != 200) {
        apply_answer(op, reply);
        co_return false;
    }
    op.seen = {result_value(parse_object(reply.body))};
    co_return true;
}

net::awaitable<void> session::transaction(const std::string& kind)
{
    history::operation op = start(kind);
    const std::string group = group_name();
    for (std::size_t i = 0; i < group_size; ++i) {
        op.keys.push_back(group + "/" + std::to_string(i));
    }
    op.value = group + "#" + std::to_string(op.id);
    op.called_us = now_us();
    run_->write_line(history::call_line(op));
    call outgoing;
    outgoing.key = organisation_.key;
    outgoing.target = "/v1/transactions";
    outgoing.body = json::serialize(json::object{{"database", database().name},
                                                 {"route", database().write_route},
                                                 {"mode", "write"},
                                                 {"timeout_ms", run_->plan.timeout.count()}});
    answer reply = co_await send(op, outgoing);
    apply_answer(op, reply);
    if (op.outcome != "ok") {
        finish(op);
        co_return;
    }
    const std::string name = string_member(parse_object(reply.body), "transaction");
    const bool group_written = co_await put_group(op, name);
    const bool should_commit = group_written && kind == "transaction";
    call end_call;
    end_call.key = organisation_.key;
    end_call.counted = false;
    end_call.target = "/v1/transactions/" + name + (should_commit ? "/commit" : "/rollback");
    end_call.body = "{}";
    reply = co_await send(op, end_call);
    if (should_commit) {
        apply_answer(op, reply);
    }
    else {
        op.outcome = "no"; // nothing was committed
        op.seen.clear();
    }
    finish(op);
}

} // namespace primrosehead::load
