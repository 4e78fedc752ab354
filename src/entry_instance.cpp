#include "entry_allowances.h"
#include "entry_announcements.h"
#include "entry_answer.h"
#include "entry_follower.h"
#include "entry_metrics.h"
#include "entry_pipeline.h"
#include "primrosehead.pb.h"

#include <primrosehead/bus.h>
#include <primrosehead/decision_log.h>
#include <primrosehead/entry.h>
#include <primrosehead/gateway.h>
#include <primrosehead/http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr clock::duration max_bus_poll{50};
// Time for load balancers to notice that /readyz fails.
constexpr std::chrono::milliseconds readiness_grace{1'000};
constexpr std::chrono::milliseconds drain_poll_interval{20};

std::uint64_t new_incarnation()
{
    const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
}

void set_error(pb::operator_reply& reply, std::string message, std::string remedy)
{
    pb::request_error& problem = *reply.mutable_error();
    problem.set_kind(std::string(to_string(error_kind::bad_request)));
    problem.set_message(std::move(message));
    problem.set_remedy(std::move(remedy));
    problem.set_ran(std::string(to_string(ran::no)));
}

http::response text_response(unsigned status, std::string_view text)
{
    http::response answer;
    answer.status = status;
    answer.content_type = "text/plain";
    answer.body = text;
    return answer;
}

} // namespace

struct entry_instance::implementation {
    explicit implementation(const entry_settings& initial_settings) : settings(initial_settings) {}

    status open();
    void run();
    net::awaitable<http::response> handle_caller_request(const http::request& received);
    net::awaitable<http::response> handle_announcement(const http::request& received);
    net::awaitable<void> drain();
    void run_bus();
    void receive(const bus_origin& origin, const pb::envelope& message);
    void handle_operator_request(const bus_origin& origin, const pb::envelope& message);
    void begin_drain();

    const entry_settings settings;
    const std::uint64_t incarnation = new_incarnation();
    net::io_context context;
    std::unique_ptr<bus> messages;
    std::shared_ptr<gateway> servers;
    entry_allowances allowances;
    entry_metrics metrics;
    std::unique_ptr<decision_log> decisions;
    std::unique_ptr<entry_follower> follower;
    std::unique_ptr<entry_pipeline> pipeline;
    std::shared_ptr<http::listener> caller_listener;
    std::shared_ptr<http::listener> announcement_listener;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopped = false;
};

status entry_instance::implementation::open()
{
    result<std::unique_ptr<bus>> opened = bus::open(settings.bus_endpoint, settings.bus_key);
    if (!ok(opened)) {
        return failure(opened);
    }
    messages = std::move(value(opened));
    result<std::unique_ptr<decision_log>> log = decision_log::open(settings.decision_log);
    if (!ok(log)) {
        return failure(log);
    }
    decisions = std::move(value(log));
    gateway_settings gateway_config;
    gateway_config.cell = settings.cell;
    gateway_config.instance = settings.instance;
    gateway_config.failure_domain = settings.failure_domain;
    servers = gateway::create(context.get_executor(), gateway_config, *messages);
    follower =
        std::make_unique<entry_follower>(settings, incarnation, *messages, *servers, allowances);
    pipeline = std::make_unique<entry_pipeline>(settings, incarnation, servers, *follower,
                                                allowances, *decisions, metrics);
    http::listener_settings caller_settings;
    caller_settings.address = settings.listen;
    caller_settings.max_connections = settings.max_connections;
    caller_settings.header_timeout = settings.header_timeout;
    caller_settings.tls = settings.tls;
    auto opened_callers = http::listener::open(
        context.get_executor(), caller_settings,
        [this](const http::request& received) { return handle_caller_request(received); });
    if (!ok(opened_callers)) {
        return failure(opened_callers);
    }
    caller_listener = value(opened_callers);
    http::listener_settings announcement_settings;
    announcement_settings.address = settings.announce_listen;
    auto opened_announcements = http::listener::open(
        context.get_executor(), announcement_settings,
        [this](const http::request& received) { return handle_announcement(received); });
    if (!ok(opened_announcements)) {
        return failure(opened_announcements);
    }
    announcement_listener = value(opened_announcements);
    return std::monostate{};
}

net::awaitable<http::response>
entry_instance::implementation::handle_caller_request(const http::request& received)
{
    if (received.method == "GET" && received.target == "/healthz") {
        co_return text_response(200, "ok\n");
    }
    if (received.method == "GET" && received.target == "/readyz") {
        const bool ready = follower->is_ready() && !draining.load();
        co_return ready ? text_response(200, "ready\n") : text_response(503, "not ready\n");
    }
    if (received.method == "GET" && received.target == "/metrics") {
        co_return text_response(200, metrics.prometheus_text(servers->stats(),
                                                             caller_listener->connection_count(),
                                                             follower->version()));
    }
    http::response answer = co_await pipeline->handle(received);
    answer.close = draining.load();
    co_return answer;
}

net::awaitable<http::response>
entry_instance::implementation::handle_announcement(const http::request& received)
{
    if (received.method != "POST" || received.target != "/v1/announcements") {
        co_return text_response(404,
                                "Not found. Send announcements with POST to /v1/announcements.\n");
    }
    const result<pb::server_report> report = parse_announcement(received.body);
    if (!ok(report)) {
        spdlog::warn("entry: Rejected an invalid announcement. {}", describe(failure(report)));
        co_return problem_response(failure(report), settings.instance.text());
    }
    servers->apply_report(value(report), clock::now());
    co_return text_response(204, "");
}

void entry_instance::implementation::handle_operator_request(const bus_origin& origin,
                                                             const pb::envelope& message)
{
    const pb::operator_request& request = message.operate();
    pb::envelope answer;
    answer.set_cell(settings.cell.text());
    answer.set_from(settings.instance.text());
    answer.set_correlation(message.correlation());
    pb::operator_reply& reply = *answer.mutable_operate_answer();
    reply.set_request_id(request.request_id());
    switch (request.body_case()) {
    case pb::operator_request::kExplainRequest:
        reply.set_ok(true);
        reply.set_text(to_json(decisions->find(request.explain_request())));
        break;
    case pb::operator_request::kDrainInstance:
        reply.set_ok(request.drain_instance() == settings.instance.text());
        if (reply.ok()) {
            begin_drain();
        }
        else {
            set_error(reply,
                      "This request is for another instance; this one is " +
                          settings.instance.text() + ".",
                      "Send the request to the instance to drain.");
        }
        break;
    default:
        set_error(reply, "Entry instances do not support this request.",
                  "Send it to a control instance.");
    }
    messages->reply(origin, answer);
}

void entry_instance::implementation::receive(const bus_origin& origin, const pb::envelope& message)
{
    switch (message.body_case()) {
    case pb::envelope::kBeatReply:
        follower->receive(message, clock::now());
        break;
    case pb::envelope::kBackend:
    case pb::envelope::kBackendAnswer:
        servers->receive(origin, message);
        break;
    case pb::envelope::kOperate:
        handle_operator_request(origin, message);
        break;
    default:
        spdlog::warn(
            "entry: Dropped a message from {} of a type that entry instances do not handle.",
            message.from());
    }
}

void entry_instance::implementation::run_bus()
{
    while (!stopped.load()) {
        follower->tick(clock::now());
        const clock::duration poll_time =
            std::min(max_bus_poll, follower->time_until_due(clock::now()));
        messages->poll(poll_time, [this](const bus_origin& origin, const pb::envelope& message) {
            receive(origin, message);
        });
    }
}

// Starts draining; later calls have no effect. Thread-safe.
void entry_instance::implementation::begin_drain()
{
    if (!draining.exchange(true)) {
        net::co_spawn(context, drain(), net::detached);
    }
}

net::awaitable<void> entry_instance::implementation::drain()
{
    spdlog::info("entry: Draining before shutdown.");
    follower->announce_leaving();
    net::steady_timer timer(context);
    timer.expires_after(readiness_grace);
    co_await timer.async_wait(net::use_awaitable);
    caller_listener->drain();
    servers->drain();
    const clock::time_point limit = clock::now() + settings.drain_timeout;
    while (clock::now() < limit && !(caller_listener->is_drained() && servers->is_idle())) {
        timer.expires_after(drain_poll_interval);
        co_await timer.async_wait(net::use_awaitable);
    }
    spdlog::info("entry: Stopped with {} connections still open.",
                 caller_listener->connection_count());
    context.stop();
}

void entry_instance::implementation::run()
{
    net::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) {
            begin_drain();
        }
    });
    spdlog::info("entry: Instance {} of cell {} is listening on {}.", settings.instance.text(),
                 settings.cell.text(), settings.listen);
    std::thread bus_thread([this] { run_bus(); });
    std::vector<std::thread> pool;
    for (std::uint32_t i = 1; i < settings.threads; ++i) {
        pool.emplace_back([this] { context.run(); });
    }
    context.run();
    for (std::thread& thread : pool) {
        thread.join();
    }
    stopped.store(true);
    bus_thread.join();
}

entry_instance::entry_instance(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
entry_instance::~entry_instance() = default;

result<std::unique_ptr<entry_instance>> entry_instance::open(const entry_settings& settings)
{
    auto body = std::make_unique<implementation>(settings);
    const status opened = body->open();
    if (!ok(opened)) {
        return failure(opened);
    }
    return std::unique_ptr<entry_instance>(new entry_instance(std::move(body)));
}

void entry_instance::run()
{
    body_->run();
}

} // namespace primrosehead
