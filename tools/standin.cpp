// primrose-standin: runs a stand-in for one backend server.
#include "program.h"
#include "standin_server.h"
#include "standin_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <memory>

namespace {

using primrosehead::result;
using primrosehead::status;
using primrosehead::standin::server;
using primrosehead::standin::server_settings;

constexpr std::chrono::milliseconds drain_poll_interval{20};
constexpr std::chrono::seconds drain_timeout{5};

// Stops the event loop when the server is idle or the deadline has passed.
void stop_when_idle(boost::asio::io_context& context, server& running,
                    boost::asio::steady_timer& timer,
                    std::chrono::steady_clock::time_point deadline)
{
    if (running.is_idle() || std::chrono::steady_clock::now() >= deadline) {
        context.stop();
        return;
    }
    timer.expires_after(drain_poll_interval);
    timer.async_wait([&context, &running, &timer, deadline](const boost::system::error_code&) {
        stop_when_idle(context, running, timer, deadline);
    });
}

status run(const server_settings& settings)
{
    boost::asio::io_context context(1);
    result<std::unique_ptr<server>> started = server::start(context.get_executor(), settings);
    if (!ok(started)) {
        return failure(started);
    }
    server& running = *value(started);
    spdlog::info("standin: {} of {} in {} listens on port {}, control port {}", settings.server,
                 settings.database, settings.failure_domain, running.port(),
                 running.control_port());
    boost::asio::steady_timer timer(context);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error_code, int) {
        if (!error_code) {
            running.drain();
            stop_when_idle(context, running, timer,
                           std::chrono::steady_clock::now() + drain_timeout);
        }
    });
    context.run();
    return std::monostate{};
}

} // namespace

int main(int count, char** arguments)
{
    return primrosehead::run_server(
        count, arguments, "Runs a stand-in for one backend server.\nprimrose-standin --config FILE",
        primrosehead::standin::parse_server_settings,
        [](const server_settings& settings) { return settings.server; }, run);
}
