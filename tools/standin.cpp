// primrose-standin: the stand-in of one backend server.
#include "standin_server.h"
#include "standin_settings.h"

#include <primrosehead/settings.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <memory>

ABSL_FLAG(std::string, config, "", "settings file (JSON, docs/BACKEND.md)");
ABSL_FLAG(bool, check_config, false, "check the settings file and end");

namespace {

using primrosehead::result;
using primrosehead::standin::server;
using primrosehead::standin::server_settings;

constexpr int exit_bad_input = 2;
constexpr std::chrono::milliseconds drain_check{20};
constexpr std::chrono::seconds drain_timeout{5};

void set_up_log(const primrosehead::log_settings& settings)
{
    spdlog::set_default_logger(settings.file.empty()
                                   ? spdlog::stderr_logger_mt("standin")
                                   : spdlog::basic_logger_mt("standin", settings.file));
    spdlog::set_level(spdlog::level::from_str(settings.level));
    spdlog::flush_on(spdlog::level::info);
    if (settings.format == "json") {
        spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l","message":"%v"})");
    }
}

int refuse(const primrosehead::error& cause)
{
    std::fprintf(stderr, "%s\n", describe(cause).c_str());
    return exit_bad_input;
}

// Ends the run once nothing is under way, or after the timeout.
void end_when_idle(boost::asio::io_context& context, server& running,
                   boost::asio::steady_timer& timer, std::chrono::steady_clock::time_point limit)
{
    if (running.is_idle() || std::chrono::steady_clock::now() >= limit) {
        context.stop();
        return;
    }
    timer.expires_after(drain_check);
    timer.async_wait([&context, &running, &timer, limit](const boost::system::error_code&) {
        end_when_idle(context, running, timer, limit);
    });
}

int run(const server_settings& settings)
{
    boost::asio::io_context context(1);
    result<std::unique_ptr<server>> started = server::start(context.get_executor(), settings);
    if (!ok(started)) {
        return refuse(failure(started));
    }
    server& running = *value(started);
    spdlog::info("standin: {} of {} in {} listens on port {}, control port {}", settings.server,
                 settings.database, settings.failure_domain, running.port(),
                 running.control_port());
    boost::asio::steady_timer timer(context);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& failed, int) {
        if (!failed) {
            running.drain();
            end_when_idle(context, running, timer,
                          std::chrono::steady_clock::now() + drain_timeout);
        }
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "The stand-in of one backend server.\nprimrose-standin --config FILE [--check_config]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("primrose-standin " PRIMROSEHEAD_VERSION "\n");
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    const auto text = primrosehead::read_file(absl::GetFlag(FLAGS_config));
    if (!ok(text)) {
        return refuse(failure(text));
    }
    const auto settings = primrosehead::standin::parse_server_settings(value(text));
    if (!ok(settings)) {
        return refuse(failure(settings));
    }
    if (absl::GetFlag(FLAGS_check_config)) {
        std::puts("settings are good");
        return 0;
    }
    set_up_log(value(settings).log);
    return run(value(settings));
}
