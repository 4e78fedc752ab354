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

constexpr std::uint32_t reserved_connections = 16; // for control orders, replicas and health checks
constexpr std::size_t log_batch_limit = 200;
constexpr clock::duration log_wait{100};
constexpr clock::duration cut_timeout{5'000}; // then the request is dropped
constexpr clock::duration cut_poll_interval{5};

http::response dropped_response()
{
    http::response response;
    response.drop = true;
    return response;
}

error timeout_error(enum ran ran)
{
    return error{error_kind::timed_out, "The request's deadline has passed.", "Retry later.", ran};
}

std::string host_part(std::string_view address)
{
    return std::string(address.substr(0, address.rfind(':')));
}

} // namespace

struct server::implementation : std::enable_shared_from_this<server::implementation> {
    implementation(net::any_io_executor io_executor, std::shared_ptr<node> shared_node)
        : executor(std::move(io_executor)), self(std::move(shared_node))
    {
    }

    net::any_io_executor executor;
    std::shared_ptr<node> self;
    std::shared_ptr<http::listener> request_listener;
    std::shared_ptr<http::listener> control_listener;
    std::uint64_t listener_generation = 0;
    std::uint16_t own_port = 0;
    std::set<std::uint64_t> caller_connections;
    std::uint32_t active_requests = 0;

    status listen();
    status listen_for_control();
    void start_background();
    void follow(const message_body& order);

    net::awaitable<bool> wait_for_link(std::string peer);
    [[nodiscard]] bool is_peer(std::string_view name) const;
    [[nodiscard]] bool is_cut_from(std::string_view peer) const;
    net::awaitable<http::response> handle(const http::request& request, std::uint64_t connection);
    net::awaitable<http::response> dispatch(const http::request& request, std::uint64_t connection,
                                            execution& effect);
    net::awaitable<http::response> handle_database_request(const http::request& request,
                                                           std::uint64_t connection,
                                                           execution& effect);
    net::awaitable<result<answer>> run(const message_body& message, std::uint64_t connection,
                                       clock::time_point deadline);
    net::awaitable<status> await_replica(const message_body& message, log_position position,
                                         clock::time_point deadline);
    net::awaitable<http::response> execute(const message_body& message, std::uint64_t connection,
                                           execution& effect);
    net::awaitable<http::response> commit(const message_body& message, std::uint64_t connection,
                                          execution& effect);
    net::awaitable<http::response> handle_log_request(std::string target);
    http::response begin(const message_body& message, std::uint64_t connection, execution& effect);
    http::response handle_order(std::string_view target, const message_body& message);
    http::response to_answer_response(const message_body& message, const answer& reply) const;
    http::response handle_control(const http::request& request);
    void apply_controls(const switches& next);
    void on_connection_closed(std::uint64_t connection);
};

status server::implementation::listen()
{
    http::listener_settings options;
    options.address = own_port == 0
                          ? self->settings.listen
                          : host_part(self->settings.listen) + ":" + std::to_string(own_port);
    options.max_connections = self->settings.connection_limit + reserved_connections;
    options.accept_delay = self->settings.accept_delay;
    const std::uint64_t connection_base = ++listener_generation
                                          << 32U; // unique across reopened listeners
    const std::weak_ptr<implementation> weak = weak_from_this();
    auto opened = http::listener::open(
        executor, options,
        [weak, connection_base](const http::request& request) -> net::awaitable<http::response> {
            const std::shared_ptr<implementation> owner = weak.lock();
            if (owner == nullptr) {
                co_return dropped_response();
            }
            co_return co_await owner->handle(request, connection_base + request.connection);
        },
        [weak, connection_base](std::uint64_t connection) {
            if (const std::shared_ptr<implementation> owner = weak.lock()) {
                owner->on_connection_closed(connection_base + connection);
            }
        });
    if (!ok(opened)) {
        return failure(opened);
    }
    request_listener = std::move(value(opened));
    own_port = request_listener->port();
    return std::monostate{};
}

status server::implementation::listen_for_control()
{
    if (self->settings.control_listen.empty()) {
        return std::monostate{};
    }
    http::listener_settings options;
    options.address = self->settings.control_listen;
    const std::weak_ptr<implementation> weak = weak_from_this();
    auto opened = http::listener::open(
        executor, options, [weak](const http::request& request) -> net::awaitable<http::response> {
            const std::shared_ptr<implementation> owner = weak.lock();
            if (owner == nullptr) {
                co_return dropped_response();
            }
            co_return owner->handle_control(request);
        });
    if (!ok(opened)) {
        return failure(opened);
    }
    control_listener = std::move(value(opened));
    return std::monostate{};
}

void server::implementation::start_background()
{
    const std::string url =
        "http://" + host_part(self->settings.listen) + ":" + std::to_string(own_port);
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
    const bool is_caller = peer != "control" && !is_peer(peer);
    return !self->can_reach(peer) || (is_caller && self->controls.is_cut("callers"));
}

// Waits while the link to `peer` is cut or the server is frozen. Returns false if that lasts for
// `cut_timeout` or the server stops.
net::awaitable<bool> server::implementation::wait_for_link(std::string peer)
{
    const clock::time_point limit = clock::now() + cut_timeout;
    while (is_cut_from(peer)) {
        if (clock::now() >= limit || self->stopped) {
            co_return false;
        }
        co_await pause_for(cut_poll_interval);
    }
    co_return true;
}

net::awaitable<http::response> server::implementation::handle(const http::request& request,
                                                              std::uint64_t connection)
{
    const std::string_view sender = request.header_value("Primrose-From");
    const std::string peer(sender.empty() ? "callers" : sender);
    const bool request_passed = co_await wait_for_link(peer);
    if (!request_passed) {
        co_return dropped_response();
    }
    if (request.target.starts_with("/v1/log")) {
        http::response log = co_await handle_log_request(request.target);
        const bool response_passed = co_await wait_for_link(peer);
        co_return response_passed ? std::move(log) : dropped_response();
    }
    ++active_requests;
    execution effect;
    const std::uint64_t number = self->record.add_received(request, peer, connection);
    http::response response = co_await dispatch(request, connection, effect);
    effect.status = response.status;
    self->record.add_executed(number, effect);
    --active_requests;
    const bool response_passed = co_await wait_for_link(peer);
    co_return response_passed ? std::move(response) : dropped_response();
}

net::awaitable<http::response> server::implementation::dispatch(const http::request& request,
                                                                std::uint64_t connection,
                                                                execution& effect)
{
    if (request.method == "GET" && request.target == "/v1/status") {
        const std::string url =
            "http://" + host_part(self->settings.listen) + ":" + std::to_string(own_port);
        http::response response;
        response.body = announcement(*self, url);
        co_return response;
    }
    caller_connections.insert(connection);
    const bool is_order = request.target == "/v1/fence" || request.target == "/v1/promote" ||
                          request.target == "/v1/follow";
    if (is_order) {
        caller_connections.erase(connection);
        message_body message;
        const status parsed = parse_body(request.body, message);
        co_return ok(parsed) ? handle_order(request.target, message)
                             : to_response(failure(parsed), message.id, self->data.term());
    }
    if (caller_connections.size() > self->settings.connection_limit) {
        http::response refusal =
            to_response(error{error_kind::overloaded, "The connection limit is reached.",
                              "Use an open connection."},
                        {}, self->data.term());
        refusal.close = true;
        co_return refusal;
    }
    co_return co_await handle_database_request(request, connection, effect);
}

net::awaitable<http::response>
server::implementation::handle_database_request(const http::request& request,
                                                std::uint64_t connection, execution& effect)
{
    message_body message;
    const status parsed = parse_body(request.body, message);
    effect.id = message.id;
    effect.transaction = message.transaction;
    if (!ok(parsed)) {
        co_return to_response(failure(parsed), message.id, self->data.term());
    }
    if (request.target == "/v1/execute" && message.parsed_statement) {
        co_return co_await execute(message, connection, effect);
    }
    if (request.target == "/v1/begin") {
        co_return begin(message, connection, effect);
    }
    if (request.target == "/v1/commit") {
        co_return co_await commit(message, connection, effect);
    }
    if (request.target == "/v1/rollback") {
        const status rolled_back = self->data.rollback(message.transaction, connection);
        co_return ok(rolled_back)
            ? to_response(boost::json::object{{"id", message.id}})
            : to_response(failure(rolled_back), message.id, self->data.term());
    }
    co_return to_response(error{error_kind::bad_request,
                                "Unknown path, or the statement is missing.",
                                "Send a request as specified in docs/BACKEND.md."},
                          message.id, self->data.term());
}

// Runs one statement in an execution slot.
net::awaitable<result<answer>> server::implementation::run(const message_body& message,
                                                           std::uint64_t connection,
                                                           clock::time_point deadline)
{
    const bool has_slot = co_await self->slots.acquire(deadline);
    if (!has_slot) {
        co_return timeout_error(ran::no);
    }
    co_await pause_for(self->settings.service_time + self->controls.extra_service_time);
    while (self->controls.frozen) {
        co_await pause_for(cut_poll_interval);
    }
    self->slots.release();
    if (!message.transaction.empty()) {
        co_return self->data.execute(message.transaction, connection, *message.parsed_statement);
    }
    if (message.write) {
        co_return self->data.write(*message.parsed_statement, message.term, message.idempotency_id);
    }
    co_return self->data.read(*message.parsed_statement, message.minimum);
}

net::awaitable<status> server::implementation::await_replica(const message_body& message,
                                                             log_position position,
                                                             clock::time_point deadline)
{
    self->log_changed.notify_all();
    while (message.wait_for_replica && !self->data.is_replicated(position.index)) {
        const bool is_replaced = !self->data.is_primary() || self->data.term() != message.term;
        if (is_replaced) {
            co_return error{error_kind::wrong_term,
                            "The primary was replaced before a replica received the write.",
                            "Retry at the new primary with the same idempotency id.", ran::unknown};
        }
        if (clock::now() >= deadline) {
            co_return timeout_error(ran::unknown);
        }
        co_await self->log_changed.wait_until(deadline);
    }
    co_return std::monostate{};
}

http::response server::implementation::to_answer_response(const message_body& message,
                                                          const answer& reply) const
{
    boost::json::object body{{"id", message.id},
                             {"result", reply.result},
                             {"term", reply.position.term},
                             {"index", reply.position.index},
                             {"role", self->data.is_primary() ? "primary" : "replica"},
                             {"data_age_ms", self->data.data_age(clock::now()).count()}};
    return to_response(body);
}

net::awaitable<http::response> server::implementation::execute(const message_body& message,
                                                               std::uint64_t connection,
                                                               execution& effect)
{
    const clock::time_point deadline = clock::now() + message.timeout;
    result<answer> outcome = co_await run(message, connection, deadline);
    if (!ok(outcome)) {
        co_return to_response(failure(outcome), message.id, self->data.term());
    }
    const answer& reply = value(outcome);
    const bool write =
        message.write && message.transaction.empty() && writes(*message.parsed_statement);
    if (write) {
        effect.changed = reply.has_appended;
        effect.term = reply.position.term;
        effect.index = reply.position.index;
        const status replicated = co_await await_replica(message, reply.position, deadline);
        if (!ok(replicated)) {
            co_return to_response(failure(replicated), message.id, self->data.term());
        }
    }
    co_return to_answer_response(message, reply);
}

net::awaitable<http::response> server::implementation::commit(const message_body& message,
                                                              std::uint64_t connection,
                                                              execution& effect)
{
    const clock::time_point deadline = clock::now() + message.timeout;
    const result<answer> outcome =
        self->data.commit(message.transaction, connection, message.term, message.idempotency_id);
    if (!ok(outcome)) {
        co_return to_response(failure(outcome), message.id, self->data.term());
    }
    const answer& reply = value(outcome);
    effect.changed = reply.has_appended;
    effect.term = reply.position.term;
    effect.index = reply.position.index;
    if (reply.has_appended || reply.is_repeated) {
        const status replicated = co_await await_replica(message, reply.position, deadline);
        if (!ok(replicated)) {
            co_return to_response(failure(replicated), message.id, self->data.term());
        }
    }
    co_return to_response(boost::json::object{
        {"id", message.id}, {"term", reply.position.term}, {"index", reply.position.index}});
}

http::response server::implementation::begin(const message_body& message, std::uint64_t connection,
                                             execution& effect)
{
    const transaction_mode mode =
        message.is_read_only ? transaction_mode::read : transaction_mode::write;
    const result<transaction_begin> begun =
        self->data.begin(mode, connection, message.term, message.minimum);
    if (!ok(begun)) {
        return to_response(failure(begun), message.id, self->data.term());
    }
    effect.transaction = value(begun).transaction;
    const log_position position = value(begun).position;
    return to_response(
        boost::json::object{{"id", message.id},
                            {"transaction", value(begun).transaction},
                            {"term", position.term},
                            {"index", position.index},
                            {"role", self->data.is_primary() ? "primary" : "replica"}});
}

http::response server::implementation::handle_order(std::string_view target,
                                                    const message_body& message)
{
    const bool was_primary = self->data.is_primary();
    http::response response;
    if (target == "/v1/fence") {
        const result<log_position> fenced = self->data.fence(message.term);
        response = ok(fenced)
                       ? to_response(boost::json::object{{"server", self->settings.server},
                                                         {"term", self->data.term()},
                                                         {"received", to_json(value(fenced))}})
                       : to_response(failure(fenced), message.id, self->data.term());
    }
    else if (target == "/v1/promote") {
        const result<std::uint64_t> start = self->data.promote(message.term, message.starts);
        response = ok(start) ? to_response(boost::json::object{{"server", self->settings.server},
                                                               {"term", self->data.term()},
                                                               {"index", value(start)}})
                             : to_response(failure(start), message.id, self->data.term());
    }
    else {
        const status followed = self->data.follow(message.term, message.primary, message.starts);
        if (ok(followed)) {
            follow(message);
        }
        response = ok(followed) ? to_response(boost::json::object{{"server", self->settings.server},
                                                                  {"term", self->data.term()}})
                                : to_response(failure(followed), message.id, self->data.term());
    }
    spdlog::info("standin: {} {} term {} status {}, now {} of term {} at index {}",
                 self->settings.server, target, message.term, response.status,
                 self->data.is_primary() ? "primary" : "replica", self->data.term(),
                 self->data.received().index);
    if (was_primary != self->data.is_primary()) {
        self->role_changed.notify_all();
    }
    self->log_changed.notify_all();
    return response;
}

net::awaitable<http::response> server::implementation::handle_log_request(std::string target)
{
    const log_query query = parse_log_query(target);
    const clock::time_point deadline = clock::now() + log_wait;
    self->data.record_received(query.server, query.request);
    self->log_changed.notify_all();
    while (true) {
        const result<log_batch> batch = self->data.entries_for(query.request, log_batch_limit);
        if (!ok(batch)) {
            co_return to_response(failure(batch), {}, self->data.term());
        }
        const log_batch& found = value(batch);
        const bool has_content = !found.entries.empty() || found.ask_after.has_value();
        if (has_content || clock::now() >= deadline || self->stopped) {
            co_return to_response(to_json(found));
        }
        co_await self->log_changed.wait_until(deadline);
    }
}

http::response server::implementation::handle_control(const http::request& request)
{
    if (request.method == "GET" && request.target == "/record") {
        http::response response;
        response.content_type = "application/jsonl";
        response.body = self->record.text();
        return response;
    }
    const result<switches> next = apply_switches(self->controls, request.body);
    if (request.method != "POST" || request.target != "/control" || !ok(next)) {
        const error cause = ok(next) ? error{error_kind::bad_request, "Unknown method or path.",
                                             "Send POST /control or GET /record."}
                                     : failure(next);
        http::response refusal = to_response(cause, {}, self->data.term());
        refusal.status = 400;
        return refusal;
    }
    spdlog::info("standin: {} received control settings {}", self->settings.server, request.body);
    apply_controls(value(next));
    return to_response(boost::json::object{});
}

void server::implementation::apply_controls(const switches& next)
{
    if (next.crash) {
        std::_Exit(EXIT_FAILURE);
    }
    const bool was_refusing = self->controls.refuse_connections;
    self->controls = next;
    if (next.refuse_connections && !was_refusing) {
        request_listener->drain();
    }
    if (!next.refuse_connections && was_refusing) {
        const status reopened = listen();
        if (!ok(reopened)) {
            spdlog::error("standin: listener not reopened: {}", describe(failure(reopened)));
        }
    }
    self->role_changed.notify_all();
}

void server::implementation::on_connection_closed(std::uint64_t connection)
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
    body_->request_listener->close();
    if (body_->control_listener) {
        body_->control_listener->close();
    }
}

result<std::unique_ptr<server>> server::start(const net::any_io_executor& executor,
                                              const server_settings& settings)
{
    file_storage::contents contents;
    std::unique_ptr<storage> log_storage = std::make_unique<memory_storage>();
    if (!settings.data_folder.empty()) {
        result<std::unique_ptr<file_storage>> opened = file_storage::open(settings.data_folder);
        if (!ok(opened)) {
            return failure(opened);
        }
        contents = value(opened)->take_contents();
        log_storage = std::move(value(opened));
    }
    auto shared_node = std::make_shared<node>(executor, settings, std::move(log_storage),
                                              contents.term, std::move(contents.entries));
    const auto body = std::make_shared<implementation>(executor, std::move(shared_node));
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
    return body_->control_listener ? body_->control_listener->port() : 0;
}

void server::drain()
{
    body_->self->controls.leaving = true;
    body_->self->role_changed.notify_all();
    body_->request_listener->drain();
}

bool server::is_idle() const noexcept
{
    return body_->active_requests == 0 && body_->request_listener->is_drained();
}

} // namespace primrosehead::standin
