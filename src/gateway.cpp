#include "gateway_directory.h"
#include "gateway_errors.h"
#include "gateway_timer.h"
#include "gateway_transaction.h"

#include <primrosehead/gateway.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <spdlog/spdlog.h>

#include <random>
#include <utility>

namespace primrosehead {

namespace net = boost::asio;

namespace {

using outcome = result<pb::backend_reply>;

// Interval between checks of health, idle connections and abandoned transactions.
constexpr clock::duration check_interval{50};

std::uint64_t random_number()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

bool belongs_to_transaction(const pb::backend_request& request)
{
    return request.operation() != pb::BACKEND_BEGIN && !request.transaction().empty();
}

bool is_plain_read(const pb::backend_request& request)
{
    return request.operation() == pb::BACKEND_EXECUTE && !request.write() &&
           request.transaction().empty();
}

pb::backend_reply to_message(const std::string& request_id, outcome&& completed)
{
    pb::backend_reply reply;
    if (ok(completed)) {
        reply = value(std::move(completed));
    }
    else {
        const error& failed = failure(completed);
        pb::request_error& error_message = *reply.mutable_error();
        error_message.set_kind(std::string(to_string(failed.kind)));
        error_message.set_message(failed.message);
        error_message.set_remedy(failed.remedy);
        error_message.set_ran(std::string(to_string(failed.ran)));
        error_message.set_retry_after_ms(static_cast<std::uint32_t>(failed.retry_after.count()));
    }
    reply.set_request_id(request_id);
    return reply;
}

// Counts a request as active during its lifetime.
class active_request {
  public:
    explicit active_request(gateway_counters& counters) : counters_(counters)
    {
        ++counters_.active;
    }
    ~active_request() { --counters_.active; }
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;

  private:
    gateway_counters& counters_;
};

} // namespace

struct gateway::implementation : std::enable_shared_from_this<gateway::implementation> {
    explicit implementation(std::shared_ptr<gateway_context> shared)
        : context(std::move(shared)), directory(context)
    {
    }

    std::shared_ptr<gateway_context> context;
    gateway_directory directory;

    // Routes a request to the instance that holds its transaction, or to an owner of its server.
    net::awaitable<outcome> run(pb::backend_request request, clock::time_point deadline)
    {
        const auto self = shared_from_this();
        const active_request counted(context->counters);
        if (belongs_to_transaction(request)) {
            co_return co_await run_in_transaction(std::move(request), deadline);
        }
        const server_route route = directory.find(server_name(request.server()));
        if (!route.server) {
            co_return unknown_server(request.server());
        }
        co_return co_await run_on_owner(route, std::move(request), deadline);
    }

    // Tries the owner first. Tries the next one only when that is safe: the owner was unresponsive
    // and nothing was sent to it, or the request is a read that got no reply.
    net::awaitable<outcome> run_on_owner(server_route route, pb::backend_request request,
                                         clock::time_point deadline)
    {
        for (const gateway_owner& owner : route.owners) {
            if (!owner) {
                break;
            }
            if (owner->is_unresponsive(clock::now())) {
                continue;
            }
            const gateway_server::outstanding_request counted(*route.server);
            const clock::time_point started = clock::now();
            ++context->counters.forwarded;
            forward_outcome forwarded = co_await owner->forward(request, deadline);
            if (forwarded.has_peer_reply) {
                route.server->record_outcome(forwarded.reply, clock::now() - started,
                                             is_plain_read(request));
            }
            if (!forwarded.can_retry_elsewhere) {
                co_return std::move(forwarded.reply);
            }
            spdlog::info("gateway: Request {} is retried elsewhere: instance {} does not respond.",
                         request.request_id(), owner->address().name.text());
        }
        co_return co_await run_locally(route.server, std::move(request), deadline);
    }

    net::awaitable<outcome> run_locally(std::shared_ptr<gateway_server> server,
                                        pb::backend_request request, clock::time_point deadline)
    {
        ++context->counters.executed_locally;
        const gateway_server::outstanding_request counted(*server);
        const clock::time_point started = clock::now();
        const bool is_read = is_plain_read(request);
        outcome reply;
        if (request.operation() == pb::BACKEND_BEGIN) {
            reply = co_await begin_locally(server, std::move(request), deadline);
        }
        else {
            reply = co_await server->run(std::move(request), deadline);
        }
        server->record_outcome(reply, clock::now() - started, is_read);
        if (ok(reply)) {
            value(reply).set_server(server->name().text());
        }
        co_return reply;
    }

    net::awaitable<outcome> begin_locally(std::shared_ptr<gateway_server> server,
                                          pb::backend_request request, clock::time_point deadline)
    {
        if (context->draining) {
            co_return instance_draining();
        }
        const std::uint64_t number = random_number();
        context->transactions.insert(number, server);
        outcome reply = co_await server->begin(std::move(request), number, deadline);
        if (!ok(reply)) {
            context->transactions.erase(number);
            co_return reply;
        }
        const transaction_handle handle{context->settings.instance, context->incarnation, number};
        value(reply).set_transaction(handle.text());
        co_return reply;
    }

    net::awaitable<outcome> run_in_transaction(pb::backend_request request,
                                               clock::time_point deadline)
    {
        const auto handle = transaction_handle::parse(request.transaction());
        if (!handle) {
            co_return transaction_not_found();
        }
        if (handle->instance == context->settings.instance) {
            co_return co_await run_in_local_transaction(*handle, std::move(request), deadline);
        }
        const std::shared_ptr<gateway_peer> holder = directory.find(handle->instance);
        if (!holder) {
            co_return transaction_not_found();
        }
        ++context->counters.forwarded;
        forward_outcome forwarded = co_await holder->forward(std::move(request), deadline);
        co_return std::move(forwarded.reply);
    }

    net::awaitable<outcome> run_in_local_transaction(transaction_handle handle,
                                                     pb::backend_request request,
                                                     clock::time_point deadline)
    {
        const auto server = context->transactions.find(handle.number);
        if (handle.incarnation != context->incarnation || !server) {
            co_return transaction_not_found();
        }
        ++context->counters.executed_locally;
        const gateway_server::outstanding_request counted(*server);
        const clock::time_point started = clock::now();
        const std::string name = request.transaction();
        outcome reply =
            co_await server->run_in_transaction(handle.number, std::move(request), deadline);
        server->record_outcome(reply, clock::now() - started, false);
        if (ok(reply)) {
            value(reply).set_server(server->name().text());
            value(reply).set_transaction(name);
        }
        co_return reply;
    }

    // Runs a request that another instance forwarded, without checking who owns the server: the
    // views of two instances may differ.
    net::awaitable<void> run_forwarded(bus_origin origin, std::uint64_t correlation,
                                       pb::backend_request request)
    {
        const auto self = shared_from_this();
        const active_request counted(context->counters);
        const clock::time_point deadline = clock::now() + clock::duration(request.deadline_ms());
        const std::string request_id = request.request_id();
        outcome reply = co_await run_received(std::move(request), deadline);
        pb::envelope message;
        message.set_cell(context->settings.cell.text());
        message.set_from(context->settings.instance.text());
        message.set_correlation(correlation);
        *message.mutable_backend_answer() = to_message(request_id, std::move(reply));
        context->messages.reply(origin, message);
    }

    net::awaitable<outcome> run_received(pb::backend_request request, clock::time_point deadline)
    {
        if (belongs_to_transaction(request)) {
            const auto handle = transaction_handle::parse(request.transaction());
            if (!handle || handle->instance != context->settings.instance) {
                co_return transaction_not_found();
            }
            co_return co_await run_in_local_transaction(*handle, std::move(request), deadline);
        }
        const server_route route = directory.find(server_name(request.server()));
        if (!route.server) {
            co_return unknown_server(request.server());
        }
        co_return co_await run_locally(route.server, std::move(request), deadline);
    }

    void receive(const bus_origin& origin, const pb::envelope& message)
    {
        if (message.cell() != context->settings.cell.text()) {
            return;
        }
        const auto sender = directory.find(instance_name(message.from()));
        if (sender) {
            sender->record_activity(clock::now());
        }
        if (message.has_backend()) {
            ++context->counters.received;
            net::co_spawn(context->executor,
                          run_forwarded(origin, message.correlation(), message.backend()),
                          net::detached);
        }
        else if (message.has_backend_answer() && sender) {
            sender->deliver_reply(message.correlation(), message.backend_answer());
        }
    }

    // Runs until the gateway is destroyed.
    static net::awaitable<void> check_periodically(std::weak_ptr<implementation> weak_self)
    {
        net::steady_timer timer(co_await net::this_coro::executor);
        for (;;) {
            co_await wait_until(timer, clock::now() + check_interval);
            const auto self = weak_self.lock();
            if (!self) {
                co_return;
            }
            self->directory.check(clock::now());
        }
    }
};

gateway::gateway(std::shared_ptr<implementation> body) : body_(std::move(body)) {}

gateway::~gateway()
{
    body_->context->transactions.clear();
}

std::shared_ptr<gateway> gateway::create(net::any_io_executor executor, gateway_settings settings,
                                         bus& messages)
{
    auto context = std::make_shared<gateway_context>(std::move(executor), std::move(settings),
                                                     messages, random_number());
    auto body = std::make_shared<implementation>(context);
    net::co_spawn(context->executor, implementation::check_periodically(body), net::detached);
    return std::shared_ptr<gateway>(new gateway(std::move(body)));
}

net::awaitable<result<pb::backend_reply>> gateway::run(pb::backend_request request,
                                                       clock::time_point deadline)
{
    return body_->run(std::move(request), deadline);
}

void gateway::receive(const bus_origin& origin, const pb::envelope& message)
{
    body_->receive(origin, message);
}

void gateway::apply_report(const pb::server_report& report, clock::time_point now)
{
    body_->directory.apply_report(report, now);
}

void gateway::remove_stale_servers(clock::duration limit, clock::time_point now)
{
    body_->directory.remove_stale_servers(limit, now);
}

void gateway::set_instances(std::span<const instance_address> live)
{
    body_->directory.set_instances(live);
}

std::vector<server_info> gateway::group(const database_name& database) const
{
    return body_->directory.group(database);
}

std::vector<pb::server_report> gateway::recent_announcements(clock::time_point since,
                                                             clock::time_point now) const
{
    return body_->directory.recent_announcements(since, now);
}

gateway_stats gateway::stats() const
{
    const gateway_counters& counters = body_->context->counters;
    gateway_stats snapshot;
    snapshot.executed_locally = counters.executed_locally;
    snapshot.forwarded = counters.forwarded;
    snapshot.received = counters.received;
    snapshot.connections_opened = counters.connections_opened;
    snapshot.connections_open = counters.connections_open;
    snapshot.queued = static_cast<std::uint64_t>(std::max<std::int64_t>(0, counters.queued));
    snapshot.refused = counters.refused;
    return snapshot;
}

void gateway::drain()
{
    body_->context->draining = true;
}

bool gateway::is_idle() const
{
    return body_->context->counters.active == 0 && body_->context->transactions.is_empty();
}

} // namespace primrosehead
