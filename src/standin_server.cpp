#include "standin_server.h"

#include "standin_announcer.h"
#include "standin_files.h"
#include "standin_messages.h"
#include "standin_node.h"
#include "standin_replicator.h"

#include <primrosehead/http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace primrosehead::standin {

namespace net = boost::asio;

namespace {

constexpr std::uint32_t connections_beside_callers = 16; // control, replicas, health checks
constexpr std::size_t log_batch_limit = 200;
constexpr clock::duration log_wait{100};
constexpr clock::duration cut_hold{5'000}; // a request over a cut link is dropped after this
constexpr clock::duration cut_check{5};

http::response dropped()
{
    http::response nothing;
    nothing.drop = true;
    return nothing;
}

error not_in_time(enum ran ran)
{
    return error{error_kind::timed_out, "The request's time is over.", "Try again later.", ran};
}

std::string host_of(std::string_view address)
{
    return std::string(address.substr(0, address.rfind(':')));
}

} // namespace

struct server::implementation : std::enable_shared_from_this<server::implementation> {
    implementation(net::any_io_executor on, std::shared_ptr<node> parts)
        : executor(std::move(on)), self(std::move(parts))
    {
    }

    net::any_io_executor executor;
    std::shared_ptr<node> self;
    std::shared_ptr<http::listener> callers;
    std::shared_ptr<http::listener> control;
    std::uint64_t listener_generation = 0;
    std::uint16_t own_port = 0;
    std::set<std::uint64_t> caller_connections;
    std::uint32_t under_way = 0;

    status listen();
    status listen_for_control();
    void start_background();
    void follow(const message_body& order);

    net::awaitable<bool> passes(std::string peer);
    [[nodiscard]] bool is_peer(std::string_view name) const;
    [[nodiscard]] bool is_cut_from(std::string_view peer) const;
    net::awaitable<http::response> handle(const http::request& received, std::uint64_t connection);
    net::awaitable<http::response> dispatch(const http::request& received, std::uint64_t connection,
                                            execution& done);
    net::awaitable<http::response> work(const http::request& received, std::uint64_t connection,
                                        execution& done);
    net::awaitable<result<answer>> run(const message_body& asked, std::uint64_t connection,
                                       clock::time_point deadline);
    net::awaitable<status> await_replica(const message_body& asked, log_position at,
                                         clock::time_point deadline);
    net::awaitable<http::response> execute(const message_body& asked, std::uint64_t connection,
                                           execution& done);
    net::awaitable<http::response> commit(const message_body& asked, std::uint64_t connection,
                                          execution& done);
    net::awaitable<http::response> send_log(std::string target);
    http::response begin(const message_body& asked, std::uint64_t connection, execution& done);
    http::response order(std::string_view target, const message_body& asked);
    http::response answer_to(const message_body& asked, const answer& what) const;
    http::response handle_control(const http::request& received);
    void change(const switches& next);
    void closed(std::uint64_t connection);
};

status server::implementation::listen()
{
    http::listener_settings with;
    with.address = own_port == 0 ? self->settings.listen
                                 : host_of(self->settings.listen) + ":" + std::to_string(own_port);
    with.max_connections = self->settings.connection_limit + connections_beside_callers;
    with.accept_delay = self->settings.new_connection;
    const std::uint64_t base = ++listener_generation << 32U; // connection numbers never repeat
    const std::weak_ptr<implementation> weak = weak_from_this();
    auto opened = http::listener::open(
        executor, with,
        [weak, base](const http::request& received) -> net::awaitable<http::response> {
            const std::shared_ptr<implementation> alive = weak.lock();
            if (alive == nullptr) {
                co_return dropped();
            }
            co_return co_await alive->handle(received, base + received.connection);
        },
        [weak, base](std::uint64_t connection) {
            if (const std::shared_ptr<implementation> alive = weak.lock()) {
                alive->closed(base + connection);
            }
        });
    if (!ok(opened)) {
        return failure(opened);
    }
    callers = std::move(value(opened));
    own_port = callers->port();
    return std::monostate{};
}

status server::implementation::listen_for_control()
{
    if (self->settings.control_listen.empty()) {
        return std::monostate{};
    }
    http::listener_settings with;
    with.address = self->settings.control_listen;
    const std::weak_ptr<implementation> weak = weak_from_this();
    auto opened = http::listener::open(
        executor, with, [weak](const http::request& received) -> net::awaitable<http::response> {
            const std::shared_ptr<implementation> alive = weak.lock();
            if (alive == nullptr) {
                co_return dropped();
            }
            co_return alive->handle_control(received);
        });
    if (!ok(opened)) {
        return failure(opened);
    }
    control = std::move(value(opened));
    return std::monostate{};
}

void server::implementation::start_background()
{
    const std::string url =
        "http://" + host_of(self->settings.listen) + ":" + std::to_string(own_port);
    for (const std::string& to : self->settings.announce_urls) {
        net::co_spawn(executor, announce(self, url, to), net::detached);
    }
    net::co_spawn(executor, apply_with_lag(self), net::detached);
}

void server::implementation::follow(const message_body& order)
{
    const replication_source next{order.term, order.primary, order.url};
    if (self->source == next) {
        return;
    }
    self->source = next;
    net::co_spawn(executor, replicate(self), net::detached);
}

bool server::implementation::is_peer(std::string_view name) const
{
    return std::any_of(self->settings.group.begin(), self->settings.group.end(),
                       [name](const peer_settings& peer) { return peer.server == name; });
}

bool server::implementation::is_cut_from(std::string_view peer) const
{
    const bool caller = peer != "control" && !is_peer(peer);
    return !self->reaches(peer) || (caller && self->controls.is_cut("callers"));
}

// Waits while the link to `peer` is cut or the server is frozen; `false` after `cut_hold`.
net::awaitable<bool> server::implementation::passes(std::string peer)
{
    const clock::time_point limit = clock::now() + cut_hold;
    while (is_cut_from(peer)) {
        if (clock::now() >= limit || self->stopped) {
            co_return false;
        }
        co_await pause_for(cut_check);
    }
    co_return true;
}

net::awaitable<http::response> server::implementation::handle(const http::request& received,
                                                              std::uint64_t connection)
{
    const std::string_view named = received.header_value("Primrose-From");
    const std::string from(named.empty() ? "callers" : named);
    const bool came = co_await passes(from);
    if (!came) {
        co_return dropped();
    }
    if (received.target.starts_with("/v1/log")) {
        http::response log = co_await send_log(received.target);
        const bool arrives = co_await passes(from);
        co_return arrives ? std::move(log) : dropped();
    }
    ++under_way;
    execution done;
    const std::uint64_t number = self->record.received(received, from, connection);
    http::response answered = co_await dispatch(received, connection, done);
    done.status = answered.status;
    self->record.executed(number, done);
    --under_way;
    const bool arrives = co_await passes(from);
    co_return arrives ? std::move(answered) : dropped();
}

net::awaitable<http::response> server::implementation::dispatch(const http::request& received,
                                                                std::uint64_t connection,
                                                                execution& done)
{
    if (received.method == "GET" && received.target == "/v1/status") {
        const std::string url =
            "http://" + host_of(self->settings.listen) + ":" + std::to_string(own_port);
        http::response answered;
        answered.body = announcement(*self, url);
        co_return answered;
    }
    caller_connections.insert(connection);
    const bool ordered = received.target == "/v1/fence" || received.target == "/v1/promote" ||
                         received.target == "/v1/follow";
    if (ordered) {
        caller_connections.erase(connection);
        message_body asked;
        const status read = read_body(received.body, asked);
        co_return ok(read) ? order(received.target, asked)
                           : to_response(failure(read), asked.id, self->data.term());
    }
    if (caller_connections.size() > self->settings.connection_limit) {
        http::response refusal = to_response(
            error{error_kind::overloaded, "Too many connections.", "Use the open ones."}, {},
            self->data.term());
        refusal.close = true;
        co_return refusal;
    }
    co_return co_await work(received, connection, done);
}

net::awaitable<http::response> server::implementation::work(const http::request& received,
                                                            std::uint64_t connection,
                                                            execution& done)
{
    message_body asked;
    const status read = read_body(received.body, asked);
    done.id = asked.id;
    done.transaction = asked.transaction;
    if (!ok(read)) {
        co_return to_response(failure(read), asked.id, self->data.term());
    }
    if (received.target == "/v1/execute" && asked.asked) {
        co_return co_await execute(asked, connection, done);
    }
    if (received.target == "/v1/begin") {
        co_return begin(asked, connection, done);
    }
    if (received.target == "/v1/commit") {
        co_return co_await commit(asked, connection, done);
    }
    if (received.target == "/v1/rollback") {
        const status ended = self->data.rollback(asked.transaction, connection);
        co_return ok(ended) ? to_response(boost::json::object{{"id", asked.id}})
                            : to_response(failure(ended), asked.id, self->data.term());
    }
    co_return to_response(
        error{error_kind::bad_request, "No such request.", "See docs/BACKEND.md."}, asked.id,
        self->data.term());
}

// Runs one statement in a slot.
net::awaitable<result<answer>> server::implementation::run(const message_body& asked,
                                                           std::uint64_t connection,
                                                           clock::time_point deadline)
{
    const bool taken = co_await self->slots.take(deadline);
    if (!taken) {
        co_return not_in_time(ran::no);
    }
    co_await pause_for(self->settings.service + self->controls.slow);
    while (self->controls.frozen) {
        co_await pause_for(cut_check);
    }
    self->slots.give_back();
    if (!asked.transaction.empty()) {
        co_return self->data.execute(asked.transaction, connection, *asked.asked);
    }
    if (asked.write) {
        co_return self->data.write(*asked.asked, asked.term, asked.idempotency_id);
    }
    co_return self->data.read(*asked.asked, asked.minimum);
}

net::awaitable<status> server::implementation::await_replica(const message_body& asked,
                                                             log_position at,
                                                             clock::time_point deadline)
{
    self->log_changed.notify_all();
    while (asked.wait_for_replica && !self->data.is_replicated(at.index)) {
        const bool replaced = !self->data.is_primary() || self->data.term() != asked.term;
        if (replaced) {
            co_return error{error_kind::wrong_term, "Replaced before a replica had the write.",
                            "Ask the new primary.", ran::unknown};
        }
        if (clock::now() >= deadline) {
            co_return not_in_time(ran::unknown);
        }
        co_await self->log_changed.wait_until(deadline);
    }
    co_return std::monostate{};
}

http::response server::implementation::answer_to(const message_body& asked,
                                                 const answer& what) const
{
    boost::json::object body{{"id", asked.id},
                             {"result", what.result},
                             {"term", what.at.term},
                             {"index", what.at.index},
                             {"role", self->data.is_primary() ? "primary" : "replica"},
                             {"data_age_ms", self->data.data_age(clock::now()).count()}};
    return to_response(body);
}

net::awaitable<http::response> server::implementation::execute(const message_body& asked,
                                                               std::uint64_t connection,
                                                               execution& done)
{
    const clock::time_point deadline = clock::now() + asked.timeout;
    result<answer> outcome = co_await run(asked, connection, deadline);
    if (!ok(outcome)) {
        co_return to_response(failure(outcome), asked.id, self->data.term());
    }
    const answer& what = value(outcome);
    const bool write = asked.write && asked.transaction.empty() && writes(*asked.asked);
    if (write) {
        done.changed = what.wrote;
        done.term = what.at.term;
        done.index = what.at.index;
        const status replicated = co_await await_replica(asked, what.at, deadline);
        if (!ok(replicated)) {
            co_return to_response(failure(replicated), asked.id, self->data.term());
        }
    }
    co_return answer_to(asked, what);
}

net::awaitable<http::response>
server::implementation::commit(const message_body& asked, std::uint64_t connection, execution& done)
{
    const clock::time_point deadline = clock::now() + asked.timeout;
    const result<answer> outcome =
        self->data.commit(asked.transaction, connection, asked.term, asked.idempotency_id);
    if (!ok(outcome)) {
        co_return to_response(failure(outcome), asked.id, self->data.term());
    }
    const answer& what = value(outcome);
    done.changed = what.wrote;
    done.term = what.at.term;
    done.index = what.at.index;
    if (what.wrote || what.repeated) {
        const status replicated = co_await await_replica(asked, what.at, deadline);
        if (!ok(replicated)) {
            co_return to_response(failure(replicated), asked.id, self->data.term());
        }
    }
    co_return to_response(
        boost::json::object{{"id", asked.id}, {"term", what.at.term}, {"index", what.at.index}});
}

http::response server::implementation::begin(const message_body& asked, std::uint64_t connection,
                                             execution& done)
{
    const transaction_mode mode =
        asked.reads_only ? transaction_mode::read : transaction_mode::write;
    const result<transaction_begin> begun =
        self->data.begin(mode, connection, asked.term, asked.minimum);
    if (!ok(begun)) {
        return to_response(failure(begun), asked.id, self->data.term());
    }
    done.transaction = value(begun).transaction;
    const log_position at = value(begun).at;
    return to_response(
        boost::json::object{{"id", asked.id},
                            {"transaction", value(begun).transaction},
                            {"term", at.term},
                            {"index", at.index},
                            {"role", self->data.is_primary() ? "primary" : "replica"}});
}

http::response server::implementation::order(std::string_view target, const message_body& asked)
{
    const bool was_primary = self->data.is_primary();
    http::response answered;
    if (target == "/v1/fence") {
        const result<log_position> fenced = self->data.fence(asked.term);
        answered = ok(fenced)
                       ? to_response(boost::json::object{{"server", self->settings.server},
                                                         {"term", self->data.term()},
                                                         {"received", to_json(value(fenced))}})
                       : to_response(failure(fenced), asked.id, self->data.term());
    }
    else if (target == "/v1/promote") {
        const result<std::uint64_t> start = self->data.promote(asked.term, asked.starts);
        answered = ok(start) ? to_response(boost::json::object{{"server", self->settings.server},
                                                               {"term", self->data.term()},
                                                               {"index", value(start)}})
                             : to_response(failure(start), asked.id, self->data.term());
    }
    else {
        const status followed = self->data.follow(asked.term, asked.primary, asked.starts);
        if (ok(followed)) {
            follow(asked);
        }
        answered = ok(followed) ? to_response(boost::json::object{{"server", self->settings.server},
                                                                  {"term", self->data.term()}})
                                : to_response(failure(followed), asked.id, self->data.term());
    }
    spdlog::info("standin: {} {} term {} status {}, now {} of term {} at index {}",
                 self->settings.server, target, asked.term, answered.status,
                 self->data.is_primary() ? "primary" : "replica", self->data.term(),
                 self->data.received().index);
    if (was_primary != self->data.is_primary()) {
        self->role_changed.notify_all();
    }
    self->log_changed.notify_all();
    return answered;
}

net::awaitable<http::response> server::implementation::send_log(std::string target)
{
    const log_query query = read_log_query(target);
    const clock::time_point deadline = clock::now() + log_wait;
    self->data.confirm(query.server, query.question);
    self->log_changed.notify_all();
    while (true) {
        const result<log_batch> batch = self->data.entries_for(query.question, log_batch_limit);
        if (!ok(batch)) {
            co_return to_response(failure(batch), {}, self->data.term());
        }
        const log_batch& found = value(batch);
        const bool worth_sending = !found.entries.empty() || found.ask_after.has_value();
        if (worth_sending || clock::now() >= deadline || self->stopped) {
            co_return to_response(to_json(found));
        }
        co_await self->log_changed.wait_until(deadline);
    }
}

http::response server::implementation::handle_control(const http::request& received)
{
    if (received.method == "GET" && received.target == "/record") {
        http::response answered;
        answered.content_type = "application/jsonl";
        answered.body = self->record.text();
        return answered;
    }
    const result<switches> next = change_switches(self->controls, received.body);
    if (received.method != "POST" || received.target != "/control" || !ok(next)) {
        const error cause = ok(next) ? error{error_kind::bad_request, "No such request.",
                                             "POST /control or GET /record."}
                                     : failure(next);
        http::response refusal = to_response(cause, {}, self->data.term());
        refusal.status = 400;
        return refusal;
    }
    spdlog::info("standin: {} control {}", self->settings.server, received.body);
    change(value(next));
    return to_response(boost::json::object{});
}

void server::implementation::change(const switches& next)
{
    if (next.crash) {
        std::_Exit(EXIT_FAILURE);
    }
    const bool refused_before = self->controls.refuse_connections;
    self->controls = next;
    if (next.refuse_connections && !refused_before) {
        callers->drain();
    }
    if (!next.refuse_connections && refused_before) {
        const status reopened = listen();
        if (!ok(reopened)) {
            spdlog::error("standin: {}", describe(failure(reopened)));
        }
    }
    self->role_changed.notify_all();
}

void server::implementation::closed(std::uint64_t connection)
{
    caller_connections.erase(connection);
    self->data.connection_closed(connection);
}

server::server(std::shared_ptr<implementation> body) : body_(std::move(body)) {}

server::~server()
{
    body_->self->stopped = true;
    body_->self->log_changed.notify_all();
    body_->self->role_changed.notify_all();
    body_->callers->close();
    if (body_->control) {
        body_->control->close();
    }
}

result<std::unique_ptr<server>> server::start(const net::any_io_executor& executor,
                                              const server_settings& settings)
{
    file_storage::contents held;
    std::unique_ptr<storage> kept = std::make_unique<memory_storage>();
    if (!settings.data_folder.empty()) {
        result<std::unique_ptr<file_storage>> opened = file_storage::open(settings.data_folder);
        if (!ok(opened)) {
            return failure(opened);
        }
        held = value(opened)->take_contents();
        kept = std::move(value(opened));
    }
    auto parts = std::make_shared<node>(executor, settings, std::move(kept), held.term,
                                        std::move(held.entries));
    const auto body = std::make_shared<implementation>(executor, std::move(parts));
    status opened = body->listen();
    if (ok(opened)) {
        opened = body->listen_for_control();
    }
    if (!ok(opened)) {
        return failure(opened);
    }
    body->start_background();
    return std::unique_ptr<server>(new server(body));
}

std::uint16_t server::port() const noexcept
{
    return body_->own_port;
}

std::uint16_t server::control_port() const noexcept
{
    return body_->control ? body_->control->port() : 0;
}

void server::drain()
{
    body_->self->controls.leaving = true;
    body_->self->role_changed.notify_all();
    body_->callers->drain();
}

bool server::is_idle() const noexcept
{
    return body_->under_way == 0 && body_->callers->is_drained();
}

} // namespace primrosehead::standin
