#include "pooler_instance.h"

#include "bus_runner.h"
#include "clock_timer.h"
#include "event_log.h"
#include "http_address.h"
#include "incarnation.h"
#include "pooler_commits.h"
#include "pooler_context.h"
#include "pooler_follower.h"
#include "pooler_home_client.h"
#include "pooler_home_server.h"
#include "pooler_metrics.h"
#include "pooler_observation.h"
#include "pooler_pool.h"
#include "pooler_session.h"
#include "primrosehead.pb.h"
#include "reload_signal.h"
#include "settings_watcher.h"

#include <primrosehead/bus.h>
#include <primrosehead/http.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <functional>
#include <map>
#include <unistd.h>
#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

constexpr clock::duration tick_interval{25};
constexpr clock::duration housekeeping_interval{200};
// Interval of the observations that reads with a staleness bound need: short enough for the
// smallest bounds, long enough to keep the load on the primary low.
constexpr clock::duration observation_interval{350};
constexpr int listen_backlog = 512;
// The load balancer removes an instance after two failed probes, which are one second apart, and
// sends new sessions until then.
constexpr clock::duration balancer_detection_time{2'300};
// Idle sessions are closed over this period, so that their callers don't reconnect all at once.
constexpr clock::duration idle_close_period{700};
constexpr clock::duration drain_interval{50};
// Time beyond the lease after which an instance without confirmation closes idle sessions, so that
// callers reconnect to other instances.
constexpr clock::duration unconfirmed_grace{1'000};

http::response text_response(unsigned status, std::string text)
{
    http::response response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = std::move(text);
    return response;
}

constexpr unsigned ok_status = 200;
constexpr unsigned unavailable_status = 503;

} // namespace

struct instance::implementation {
    implementation(const pooler_settings& instance_settings, std::string path,
                   platform_parts platform)
        : settings(instance_settings), parts(std::move(platform)),
          events(STDOUT_FILENO, instance_settings.instance), settings_file(std::move(path)),
          acceptor(context), connections(context.get_executor(), parts.dialect, events,
                                         instance_settings.failure_domain.text()),
          confirmations(context.get_executor(), parts.dialect, connections, events),
          incarnation(make_incarnation()),
          control(context.get_executor(), instance_settings, incarnation, parts.parse_document,
                  connections, confirmations, events),
          session_resources{context.get_executor(), parts.dialect, connections,      control,
                            confirmations,          events,        statement_metrics},
          home(session_resources, instance_settings.cell.text(), instance_settings.instance),
          homes(std::make_shared<home_client>(
              context.get_executor(),
              home_client_settings{instance_settings.cell.text(), instance_settings.instance,
                                   incarnation, instance_settings.home_connections_per_instance},
              control, home, events, statement_metrics))
    {
        session_resources.homes = homes.get();
        connections.learn_concurrency(instance_settings.learns_concurrency);
        redirect_spdlog(events, instance_settings.log.level);
    }

    status open();
    void run();

    [[nodiscard]] status listen();
    [[nodiscard]] status serve_probes();
    void receive(const bus_origin& origin, const pb::envelope& message);
    net::awaitable<void> accept_loop();
    net::awaitable<void> run_session(std::shared_ptr<session> served, std::uint64_t number);
    net::awaitable<void> tick_loop();
    net::awaitable<void> drain();
    void run_housekeeping(clock::time_point now);
    void close_idle_sessions(std::size_t max_count);
    void update_readiness(clock::time_point now);
    void reload();
    [[nodiscard]] bool is_ready() const;

    const pooler_settings settings;
    platform_parts parts;
    event_log events;
    settings_watcher settings_file;
    net::io_context context{1};
    tcp::acceptor acceptor;
    instance_metrics statement_metrics;
    pool connections;
    commits confirmations;
    const std::uint64_t incarnation;
    follower control;
    pooler::context session_resources;
    home_server home;
    std::shared_ptr<home_client> homes;
    std::unique_ptr<bus_runner> messages;
    std::shared_ptr<http::listener> readiness;
    std::shared_ptr<http::listener> metrics_listener;
    std::map<std::uint64_t, std::shared_ptr<session>> sessions;
    std::uint64_t next_session = 1;
    clock::time_point last_housekeeping_at{};
    std::map<std::string, clock::time_point> last_observation_at;
    bool is_draining = false;
    bool was_ready = false;
};

bool instance::implementation::is_ready() const
{
    const clock::time_point now = clock::now();
    return !is_draining && control.is_confirmed(now) && !control.is_without_tokens(now);
}

status instance::implementation::listen()
{
    const result<tcp::endpoint> endpoint = http::parse_address(settings.listen);
    if (!ok(endpoint)) {
        return failure(endpoint);
    }
    boost::system::error_code failed;
    acceptor.open(value(endpoint).protocol(), failed);
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(value(endpoint), failed);
    }
    if (!failed) {
        acceptor.listen(listen_backlog, failed);
    }
    if (failed) {
        return error{error_kind::bad_settings,
                     "Can't listen on " + settings.listen + ": " + failed.message() + ".",
                     "Set $.listen to a free address of this machine."};
    }
    return std::monostate{};
}

status instance::implementation::serve_probes()
{
    http::listener_settings listening;
    listening.address = settings.readiness_listen;
    result<std::shared_ptr<http::listener>> probe_listener =
        http::listener::open(context.get_executor(), listening,
                             [this](const http::request&) -> net::awaitable<http::response> {
                                 const bool ready = is_ready();
                                 co_return text_response(ready ? ok_status : unavailable_status,
                                                         ready ? "ready\n" : "not ready\n");
                             });
    if (!ok(probe_listener)) {
        return failure(probe_listener);
    }
    readiness = value(probe_listener);
    if (settings.metrics_listen.empty()) {
        return std::monostate{};
    }
    listening.address = settings.metrics_listen;
    result<std::shared_ptr<http::listener>> opened = http::listener::open(
        context.get_executor(), listening,
        [this](const http::request&) -> net::awaitable<http::response> {
            const std::uint64_t version =
                control.current_document() ? control.current_document()->version() : 0;
            const std::int64_t age = (clock::now() - control.confirmed_at()).count();
            std::string text = statement_metrics.prometheus_text(
                connections.stats(), static_cast<std::uint32_t>(sessions.size()), version, age,
                events);
            co_return text_response(ok_status, std::move(text));
        });
    if (!ok(opened)) {
        return failure(opened);
    }
    metrics_listener = value(opened);
    return std::monostate{};
}

void instance::implementation::receive(const bus_origin& origin, const pb::envelope& message)
{
    if (message.cell() != settings.cell.text()) {
        return;
    }
    const clock::time_point now = clock::now();
    if (message.has_follow_answer()) {
        control.receive(message.follow_answer(), now, origin.endpoint);
    }
    else if (message.has_tokens()) {
        control.receive_tokens(message.tokens(), now);
    }
    else if (message.has_home_call()) {
        home.receive(origin, message.from(), message.home_call(), now);
    }
    else if (message.has_home_answer()) {
        homes->receive(message.from(), message.home_answer(), now);
    }
    else if (message.has_home_alive()) {
        homes->receive(message.from(), message.home_alive(), now);
    }
}

status instance::implementation::open()
{
    result<std::unique_ptr<bus>> opened =
        bus::open(make_bus_endpoint(settings.host, settings.bus_port), std::nullopt);
    if (!ok(opened)) {
        return failure(opened);
    }
    messages =
        std::make_unique<bus_runner>(std::move(value(opened)), context.get_executor(),
                                     [this](const bus_origin& origin, const pb::envelope& message) {
                                         receive(origin, message);
                                     });
    control.set_bus(messages->messages());
    homes->set_sender([this](std::string_view endpoint, const pb::envelope& message) {
        if (messages) { // sessions that are destroyed on exit roll back
            messages->messages().send(endpoint, message);
        }
    });
    home.set_replier([this](const bus_origin& origin, const pb::envelope& message) {
        messages->messages().reply(origin, message);
    });
    const status listening = listen();
    return ok(listening) ? serve_probes() : listening;
}

net::awaitable<void> instance::implementation::run_session(std::shared_ptr<session> served,
                                                           std::uint64_t number)
{
    try {
        co_await served->run();
    }
    catch (const std::exception& unexpected) {
        // Ends this session only; its server connection is rolled back.
        events.decision("session", "failed")
            .field("session", static_cast<std::int64_t>(number))
            .field("error", unexpected.what());
    }
    sessions.erase(number);
}

net::awaitable<void> instance::implementation::accept_loop()
{
    constexpr clock::duration pause_after_failure{50}; // file descriptors may be exhausted
    while (acceptor.is_open()) {
        auto [failed, socket] = co_await acceptor.async_accept(no_throw);
        if (failed) {
            if (!acceptor.is_open()) {
                co_return;
            }
            events.decision("session", "accept_failed").field("error", failed.message());
            net::steady_timer timer(context, pause_after_failure);
            co_await timer.async_wait(no_throw);
            continue;
        }
        if (sessions.size() >= settings.max_connections) {
            events.decision("session", "too_many_sessions")
                .field("sessions", static_cast<std::int64_t>(sessions.size()));
            continue; // the socket is closed
        }
        boost::system::error_code ignored; // small answers are delayed without the option
        socket.set_option(tcp::no_delay(true), ignored);
        const std::uint64_t number = next_session++;
        auto made = std::make_shared<session>(session_resources, std::move(socket), number);
        sessions.emplace(number, made);
        net::co_spawn(context, run_session(made, number), net::detached);
    }
}

void instance::implementation::close_idle_sessions(std::size_t max_count)
{
    for (const auto& [number, each] : sessions) {
        if (max_count == 0) {
            return;
        }
        max_count -= each->close_if_idle() ? 1 : 0;
    }
}

void instance::implementation::update_readiness(clock::time_point now)
{
    const bool ready = is_ready();
    if (ready != was_ready) {
        was_ready = ready;
        events.decision("process", ready ? "ready" : "not_ready")
            .field("draining", is_draining)
            .field("confirmed_ms_ago", (now - control.confirmed_at()).count());
    }
    const clock::duration lease = settings.revocation;
    const bool is_isolated = control.current_document() != nullptr &&
                             now - control.confirmed_at() > lease + unconfirmed_grace;
    if (is_isolated && !is_draining) {
        constexpr std::size_t closed_per_interval = 8;
        close_idle_sessions(closed_per_interval);
    }
}

void instance::implementation::run_housekeeping(clock::time_point now)
{
    if (now - last_housekeeping_at < housekeeping_interval) {
        return;
    }
    last_housekeeping_at = now;
    connections.evict_idle(now);
    if (!connections.evacuated().empty()) {
        for (const auto& [number, each] : sessions) {
            each->leave_evacuated_server(now);
        }
    }
    update_readiness(now);
    reload();
    if (control.follows_relay()) {
        return; // the relay observes the primaries
    }
    for (const std::string& group : connections.groups()) {
        const std::optional<clock::time_point> newest =
            connections.freshness_of(group).newest_request_at();
        const bool is_due = !newest || now - *newest > observation_interval;
        if (!is_due || now - last_observation_at[group] < observation_interval) {
            continue;
        }
        std::unique_ptr<pooled_connection> idle = connections.take_idle_at_primary(group, now);
        if (idle) {
            last_observation_at[group] = now;
            net::co_spawn(context, observe_primary(connections, parts.dialect, std::move(idle)),
                          net::detached);
        }
    }
}

void instance::implementation::reload()
{
    const std::optional<std::string> text = settings_file.read_if_changed();
    if (!text) {
        return;
    }
    const result<pooler_settings> read = parse_pooler_settings(*text);
    if (!ok(read)) {
        events.decision("process", "reload_refused").field("error", describe(failure(read)));
        return;
    }
    control.set_seeds(value(read).control);
    events.decision("process", "reload")
        .field("control", static_cast<std::int64_t>(value(read).control.size()));
}

net::awaitable<void> instance::implementation::tick_loop()
{
    net::steady_timer timer(context);
    while (true) {
        const clock::time_point now = clock::now();
        control.tick(now);
        homes->tick(now);
        home.tick(now);
        connections.retry_waiting();
        run_housekeeping(now);
        timer.expires_after(tick_interval);
        co_await timer.async_wait(no_throw);
    }
}

// Serves until the load balancer has removed this instance, then closes idle sessions. Open
// transactions are aborted after half of the grace period.
net::awaitable<void> instance::implementation::drain()
{
    const clock::time_point began_at = clock::now();
    is_draining = true;
    control.begin_leaving();
    home.begin_leaving();
    events.decision("process", "drain")
        .field("sessions", static_cast<std::int64_t>(sessions.size()));
    net::steady_timer timer(context);
    timer.expires_at(to_steady_time(began_at + balancer_detection_time));
    co_await timer.async_wait(no_throw);
    session_resources.is_closing_sessions = true;
    const auto turns = static_cast<std::size_t>(idle_close_period / drain_interval);
    const std::size_t closed_per_interval = sessions.size() / turns + 1;
    const clock::time_point transactions_end = began_at + settings.grace / 2;
    const clock::time_point end = began_at + settings.grace * 5 / 6;
    while ((!sessions.empty() || home.has_work()) && clock::now() < end) {
        const bool is_late = clock::now() >= transactions_end;
        if (is_late) {
            boost::system::error_code ignored; // new sessions would no longer be served
            acceptor.close(ignored);
            for (const auto& [number, each] : sessions) {
                each->abort_transaction("this instance is stopping");
            }
            home.roll_back_all();
        }
        close_idle_sessions(is_late ? sessions.size() : closed_per_interval);
        timer.expires_after(drain_interval);
        co_await timer.async_wait(no_throw);
    }
    events.decision("process", "stop")
        .field("sessions", static_cast<std::int64_t>(sessions.size()))
        .field("took_ms", (clock::now() - began_at).count());
    context.stop();
}

void instance::implementation::run()
{
    net::signal_set stop_signals(context, SIGTERM, SIGINT);
    stop_signals.async_wait([this](const boost::system::error_code& failed, int) {
        if (!failed) {
            net::co_spawn(context, drain(), net::detached);
        }
    });
    const reload_signal on_reload(context.get_executor(), [this] { settings_file.check_now(); });
    events.decision("process", "start")
        .field("listen", settings.listen)
        .field("failure_domain", settings.failure_domain.text())
        .field("version", std::string_view(PRIMROSEHEAD_VERSION));
    net::co_spawn(context, accept_loop(), net::detached);
    net::co_spawn(context, tick_loop(), net::detached);
    context.run();
    messages.reset();
}

instance::instance(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
instance::~instance() = default;

result<std::unique_ptr<instance>> instance::open(const pooler_settings& settings,
                                                 std::string settings_path, platform_parts parts)
{
    auto body =
        std::make_unique<implementation>(settings, std::move(settings_path), std::move(parts));
    const status opened = body->open();
    if (!ok(opened)) {
        return failure(opened);
    }
    return std::unique_ptr<instance>(new instance(std::move(body)));
}

void instance::run()
{
    body_->run();
}

} // namespace primrosehead::pooler
