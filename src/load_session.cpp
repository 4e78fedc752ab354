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
constexpr std::uint64_t resend_one_in = 3; // adds whose caller acts as if the answer was lost
constexpr std::size_t max_remembered_counters = 4;
constexpr int max_sends = 4; // of a request that may not be repeated, under one Idempotency-Key
constexpr clock::duration resend_pause{50};
constexpr clock::duration answer_grace{500}; // beyond the request's own timeout

std::string string_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string();
}

std::uint64_t number_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    boost::system::error_code failed;
    return found != nullptr && found->is_number() ? found->to_number<std::uint64_t>(failed) : 0;
}

json::object parse_object(const std::string& text)
{
    result<json::value> parsed = lab::parse_json(text);
    const bool is_object = ok(parsed) && value(parsed).is_object();
    return is_object ? value(parsed).get_object() : json::object();
}

// What a get or add answered: the value as text, "null" for none.
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
    else if (kind == "read" && !added_counter_.empty() && run_->random() % 4 == 0) {
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
        const bool foreign =
            organisation_.outsider && !database().foreign_route.empty() && run_->random() % 2 == 0;
        const std::string which = foreign ? "foreign_route" : "wrong_key";
        co_await attempt_unauthorised_read(which);
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
    const operation_shares& of = run_->plan.shares;
    std::discrete_distribution<int> choice({of.write, of.read, of.stale_read, of.scan,
                                            of.transaction, of.add, of.rollback, of.wrong_key});
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
    history::operation begun;
    begun.id = run_->next_operation++;
    begun.session = name_;
    begun.organisation = organisation_.name;
    begun.database = database().name;
    begun.kind = kind;
    begun.with_token = kind != "stale_read";
    begun.outcome = "unknown";
    return begun;
}

void session::finish(history::operation& done)
{
    done.done_us = now_us();
    run_->write_line(history::done_line(done));
    ++run_->operations;
    run_->failed += done.outcome == "ok" ? 0 : 1;
    if (done.error == "session_write_lost" || done.error == "bad_token") {
        token_.clear();
    }
}

session::call session::statement(const std::string& route, const std::string& text) const
{
    call what;
    what.key = organisation_.key;
    json::object body{{"database", database().name},
                      {"route", route},
                      {"timeout_ms", run_->plan.timeout.count()}};
    body["statement"] = value(lab::parse_json(text));
    what.target = "/v1/statements";
    if (run_->plan.direct) {
        body = {{"id", "direct"}, {"statement", body["statement"]}, {"timeout_ms", 1'000}};
        what.target = "/v1/execute";
    }
    what.body = json::serialize(body);
    return what;
}

net::awaitable<session::answer> session::send_once(const call& what)
{
    answer got;
    const std::string url = choose_entry();
    const clock::time_point deadline = clock::now() + run_->plan.timeout + answer_grace;
    std::unique_ptr<http::client>& link = clients_[url];
    if (link == nullptr || !link->is_open()) {
        result<std::unique_ptr<http::client>> opened =
            co_await http::client::connect(url, deadline);
        if (!ok(opened)) {
            got.error = "connect_failed";
            got.ran = "no";
            co_return got;
        }
        link = std::move(value(opened));
    }
    http::request sent;
    sent.method = "POST";
    sent.target = what.target;
    sent.body = what.body;
    if (!what.key.empty() && !run_->plan.direct) {
        sent.headers.push_back({"Authorization", "Bearer " + what.key});
    }
    if (what.with_token && !token_.empty()) {
        sent.headers.push_back({"Primrose-Session", token_});
    }
    if (!what.idempotency_key.empty()) {
        sent.headers.push_back({"Idempotency-Key", what.idempotency_key});
    }
    const result<http::response> outcome = co_await link->call(sent, deadline);
    if (!ok(outcome)) {
        link.reset();
        got.error = std::string(to_string(failure(outcome).kind));
        got.ran = std::string(to_string(failure(outcome).ran));
        co_return got;
    }
    const http::response& arrived = value(outcome);
    got.arrived = true;
    got.status = arrived.status;
    got.body = arrived.body;
    got.token = arrived.header_value("Primrose-Session");
    got.request_id = arrived.header_value("Primrose-Request-Id");
    if (got.status != 200) {
        const json::object problem = parse_object(got.body);
        got.error = string_member(problem, "kind");
        got.ran = string_member(problem, "ran");
    }
    else {
        got.role = string_member(parse_object(got.body), "role");
    }
    co_return got;
}

void session::record_request(const history::operation& on, const call& what, const answer& got,
                             std::int64_t called_us)
{
    history::request_event event;
    event.operation = on.id;
    event.organisation = organisation_.name;
    event.database = on.database;
    event.counted = what.counted && what.key == organisation_.key && got.error != "connect_failed";
    event.read = what.read;
    event.called_us = called_us;
    event.done_us = now_us();
    event.status = got.status;
    event.error = got.error;
    event.role = got.role;
    if (got.arrived && got.status != 200) {
        event.retry_after_ms =
            static_cast<std::int64_t>(number_member(parse_object(got.body), "retry_after_ms"));
    }
    run_->write_line(history::request_line(event));
}

net::awaitable<session::answer> session::send(const history::operation& on, const call& what)
{
    const std::int64_t called_us = now_us();
    answer got = co_await send_once(what);
    record_request(on, what, got, called_us);
    if (!got.token.empty() && what.with_token) {
        token_ = got.token;
    }
    co_return got;
}

void session::apply_answer(history::operation& on, const answer& got)
{
    on.status = got.status;
    on.error = got.error;
    on.request_id = got.request_id;
    if (!got.arrived || got.status != 200) {
        on.outcome = got.ran == "no" ? "no" : "unknown";
        return;
    }
    const json::object body = parse_object(got.body);
    on.outcome = "ok";
    const std::uint64_t index = number_member(body, run_->plan.direct ? "index" : "position");
    on.position = {number_member(body, "term"), index};
    on.served_by = string_member(body, "served_by");
    on.role = string_member(body, "role");
}

net::awaitable<void> session::write()
{
    history::operation on = start("write");
    on.keys = {"w/" + database().name + "/" + std::to_string(run_->random() % run_->plan.keys)};
    on.value = on.keys.front().substr(0, on.keys.front().rfind('/')) + "#" + std::to_string(on.id);
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    const call what = statement(database().write_route, put_statement(on.keys.front(), on.value));
    const answer got = co_await send(on, what);
    apply_answer(on, got);
    finish(on);
}

net::awaitable<void> session::read(const std::string& kind)
{
    history::operation on = start(kind);
    const bool stale = kind == "stale_read";
    on.keys = {"w/" + database().name + "/" + std::to_string(run_->random() % run_->plan.keys)};
    on.max_age_ms = stale ? run_->plan.max_age.count() : 0;
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    call what = statement(stale ? database().stale_route : database().read_route,
                          get_statement(on.keys.front()));
    what.read = true;
    what.with_token = !stale;
    if (stale && !run_->plan.direct) {
        json::object body = parse_object(what.body);
        body["max_age_ms"] = on.max_age_ms;
        what.body = json::serialize(body);
    }
    const answer got = co_await send(on, what);
    apply_answer(on, got);
    if (on.outcome == "ok") {
        on.seen = {result_value(parse_object(got.body))};
    }
    finish(on);
}

net::awaitable<void> session::read_counter()
{
    const added_counter chosen = added_counter_[run_->random() % added_counter_.size()];
    for (const database_plan& each : run_->plan.databases) {
        if (each.name == chosen.database) {
            database_ = &each;
        }
    }
    history::operation on = start("read_add");
    on.keys = {chosen.key};
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    call what = statement(database().read_route, get_statement(chosen.key));
    what.read = true;
    const answer got = co_await send(on, what);
    apply_answer(on, got);
    if (on.outcome == "ok") {
        on.seen = {result_value(parse_object(got.body))};
    }
    finish(on);
}

net::awaitable<void> session::add()
{
    history::operation on = start("add");
    on.keys = {"a/" + database().name + "/" + std::to_string(on.id)};
    on.value = on.keys.front();
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    call what = statement(database().write_route,
                          json::serialize(json::object{{"add", on.keys.front()}, {"by", 1}}));
    what.idempotency_key = "op-" + std::to_string(on.id);
    bool may_have_run = false;
    answer got;
    for (int sends = 0; sends < max_sends; ++sends) {
        got = co_await send(on, what);
        may_have_run = may_have_run || (got.status != 200 && got.ran != "no");
        const bool settled = got.status == 200 || (got.ran == "no" && !may_have_run);
        if (settled) {
            break;
        }
        co_await standin::pause_for(resend_pause);
    }
    apply_answer(on, got);
    if (on.outcome == "no" && may_have_run) {
        on.outcome = "unknown";
    }
    if (on.outcome == "ok") {
        on.seen = {result_value(parse_object(got.body))};
    }
    if (on.outcome == "ok" && run_->random() % resend_one_in == 0) {
        const answer again = co_await send(on, what);
        if (again.status == 200 && on.seen.front() == "1") {
            on.seen = {result_value(parse_object(again.body))};
        }
    }
    if (on.outcome != "no") {
        added_counter_.push_back({on.database, on.keys.front()});
    }
    if (added_counter_.size() > max_remembered_counters) {
        added_counter_.pop_front();
    }
    finish(on);
}

net::awaitable<void> session::attempt_unauthorised_read(const std::string& kind)
{
    history::operation on = start(kind);
    const bool foreign = kind == "foreign_route";
    on.keys = {"w/" + database().name + "/0"};
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    call what = statement(foreign ? database().foreign_route : database().read_route,
                          get_statement(on.keys.front()));
    what.read = true;
    what.counted = false;
    what.key = foreign ? organisation_.key : "wrong-" + std::to_string(on.id);
    const answer got = co_await send(on, what);
    apply_answer(on, got);
    finish(on);
}

// Begin, one get a key and the end.
net::awaitable<void> session::scan()
{
    history::operation on = start("scan");
    const std::string group = group_name();
    on.called_us = now_us();
    for (std::size_t place = 0; place < group_size; ++place) {
        on.keys.push_back(group + "/" + std::to_string(place));
    }
    run_->write_line(history::call_line(on));
    call what;
    what.key = organisation_.key;
    what.read = true;
    what.target = "/v1/transactions";
    what.body = json::serialize(json::object{{"database", database().name},
                                             {"route", database().read_route},
                                             {"mode", "read"},
                                             {"timeout_ms", run_->plan.timeout.count()}});
    answer got = co_await send(on, what);
    apply_answer(on, got);
    if (on.outcome != "ok") {
        finish(on);
        co_return;
    }
    const std::string transaction = string_member(parse_object(got.body), "transaction");
    std::vector<std::string> seen;
    for (const std::string& key : on.keys) {
        call one;
        one.key = organisation_.key;
        one.read = true;
        one.target = "/v1/transactions/" + transaction + "/statements";
        one.body = R"({"statement":)" + get_statement(key) + "}";
        got = co_await send(on, one);
        if (got.status != 200) {
            break;
        }
        seen.push_back(result_value(parse_object(got.body)));
    }
    const bool whole = seen.size() == on.keys.size();
    if (whole) {
        on.seen = std::move(seen);
    }
    else {
        apply_answer(on, got);
    }
    call end;
    end.key = organisation_.key;
    end.counted = false;
    end.target = "/v1/transactions/" + transaction + "/rollback";
    end.body = "{}";
    const answer ended = co_await send(on, end);
    (void)ended;
    finish(on);
}

// Writes every key of the group inside the transaction and reads the first one back.
net::awaitable<bool> session::put_group(history::operation& on, const std::string& transaction)
{
    for (const std::string& key : on.keys) {
        call one;
        one.key = organisation_.key;
        one.target = "/v1/transactions/" + transaction + "/statements";
        one.body = R"({"statement":)" + put_statement(key, on.value) + "}";
        const answer got = co_await send(on, one);
        if (got.status != 200) {
            apply_answer(on, got);
            co_return false;
        }
    }
    call back;
    back.key = organisation_.key;
    back.target = "/v1/transactions/" + transaction + "/statements";
    back.body = R"({"statement":)" + get_statement(on.keys.front()) + "}";
    const answer got = co_await send(on, back);
    if (got.status != 200) {
        apply_answer(on, got);
        co_return false;
    }
    on.seen = {result_value(parse_object(got.body))};
    co_return true;
}

net::awaitable<void> session::transaction(const std::string& kind)
{
    history::operation on = start(kind);
    const std::string group = group_name();
    for (std::size_t place = 0; place < group_size; ++place) {
        on.keys.push_back(group + "/" + std::to_string(place));
    }
    on.value = group + "#" + std::to_string(on.id);
    on.called_us = now_us();
    run_->write_line(history::call_line(on));
    call what;
    what.key = organisation_.key;
    what.target = "/v1/transactions";
    what.body = json::serialize(json::object{{"database", database().name},
                                             {"route", database().write_route},
                                             {"mode", "write"},
                                             {"timeout_ms", run_->plan.timeout.count()}});
    answer got = co_await send(on, what);
    apply_answer(on, got);
    if (on.outcome != "ok") {
        finish(on);
        co_return;
    }
    const std::string name = string_member(parse_object(got.body), "transaction");
    const bool written = co_await put_group(on, name);
    const bool commits = written && kind == "transaction";
    call end;
    end.key = organisation_.key;
    end.counted = false;
    end.target = "/v1/transactions/" + name + (commits ? "/commit" : "/rollback");
    end.body = "{}";
    got = co_await send(on, end);
    if (commits) {
        apply_answer(on, got);
    }
    else {
        on.outcome = "no"; // nothing was committed
        on.seen.clear();
    }
    finish(on);
}

} // namespace primrosehead::load
