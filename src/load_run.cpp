#include "load_run.h"

#include "load_session.h"
#include "standin_notifier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <memory>

namespace primrosehead::load {

namespace net = boost::asio;

namespace {

constexpr clock::duration progress_interval{5'000};
constexpr clock::duration drain_poll_interval{20};
constexpr clock::duration drain_timeout{15'000}; // for requests in flight at the end
constexpr clock::duration control_timeout{1'000};
constexpr double ms_per_s = 1'000.0;

int signal_number(const std::string& name)
{
    if (name == "KILL") {
        return SIGKILL;
    }
    return name == "STOP" ? SIGSTOP : SIGCONT;
}

// State of one run. All tasks run on one thread.
struct load_runner {
    load_runner(const run_plan& config, std::uint64_t seed,
                std::function<void(const std::string&)> write_line)
        : plan(config), context(std::make_shared<run_context>(
                            run_context{plan, std::mt19937_64(seed), 1, std::move(write_line)}))
    {
    }

    const run_plan& plan;
    net::io_context io{1};
    std::shared_ptr<run_context> context;
    std::vector<std::vector<std::unique_ptr<session>>> sessions;
    run_totals totals;
    clock::time_point started;
    std::uint32_t in_flight = 0;
    bool stopping = false;

    void make_sessions();
    void dispatch(std::size_t organisation);
    net::awaitable<void> run_operation(session& idle_session);
    net::awaitable<void> generate_arrivals(std::size_t organisation);
    net::awaitable<void> inject_faults();
    net::awaitable<void> post_fault(const fault_plan& step);
    net::awaitable<void> report_progress();
    net::awaitable<void> stop_after_duration();
};

void load_runner::make_sessions()
{
    for (const organisation_plan& each : plan.organisations) {
        auto& own = sessions.emplace_back();
        for (std::uint32_t number = 0; number < each.sessions; ++number) {
            own.push_back(
                std::make_unique<session>(context, each, each.name + "#" + std::to_string(number)));
        }
        context->write_line(history::contract_line({each.name, each.rate, each.burst}, each.key));
    }
}

net::awaitable<void> load_runner::run_operation(session& idle_session)
{
    ++in_flight;
    co_await idle_session.run_one();
    --in_flight;
}

void load_runner::dispatch(std::size_t organisation)
{
    for (const std::unique_ptr<session>& each : sessions[organisation]) {
        if (!each->is_busy()) {
            net::co_spawn(io, run_operation(*each), net::detached);
            return;
        }
    }
    ++totals.not_offered;
}

// Generates Poisson arrivals of batches at the organisation's send rate.
net::awaitable<void> load_runner::generate_arrivals(std::size_t organisation)
{
    const organisation_plan& own = plan.organisations[organisation];
    if (own.send_rate <= 0) {
        co_return;
    }
    std::exponential_distribution<double> interval_ms(own.send_rate / own.batch / ms_per_s);
    double next_ms = interval_ms(context->random);
    while (!stopping) {
        const clock::time_point due_time =
            started + clock::duration(static_cast<std::int64_t>(next_ms));
        co_await standin::pause_for(due_time - clock::now());
        for (std::uint32_t count = 0; count < own.batch && !stopping; ++count) {
            dispatch(organisation);
        }
        next_ms += interval_ms(context->random);
    }
}

net::awaitable<void> load_runner::post_fault(const fault_plan& step)
{
    const clock::time_point deadline = clock::now() + control_timeout;
    result<std::unique_ptr<http::client>> opened =
        co_await http::client::connect(step.url, deadline);
    if (!ok(opened)) {
        spdlog::warn("load: could not inject fault at {} ms: {}", step.at.count(),
                     describe(failure(opened)));
        co_return;
    }
    http::request request;
    request.method = "POST";
    request.target = "/control";
    request.body = step.body;
    const result<http::response> answer = co_await value(opened)->call(request, deadline);
    const bool is_crash = step.body.find("crash") != std::string::npos;
    const bool was_injected = ok(answer) ? value(answer).status == 200 : is_crash;
    totals.faults += was_injected ? 1 : 0;
}

net::awaitable<void> load_runner::inject_faults()
{
    for (const fault_plan& step : plan.faults) {
        co_await standin::pause_for(started + step.at - clock::now());
        if (step.pid != 0) {
            totals.faults += ::kill(step.pid, signal_number(step.signal)) == 0 ? 1 : 0;
            continue;
        }
        co_await post_fault(step);
    }
}

net::awaitable<void> load_runner::report_progress()
{
    while (!stopping) {
        co_await standin::pause_for(progress_interval);
        spdlog::info("load: {} ms, {} operations, {} not ok, {} faults",
                     (clock::now() - started).count(), context->operations, context->failed,
                     totals.faults);
    }
}

net::awaitable<void> load_runner::stop_after_duration()
{
    co_await standin::pause_for(plan.duration);
    stopping = true;
    const clock::time_point deadline = clock::now() + drain_timeout;
    while (in_flight > 0 && clock::now() < deadline) {
        co_await standin::pause_for(drain_poll_interval);
    }
    io.stop();
}

} // namespace

run_totals run(const run_plan& plan, std::uint64_t seed,
               const std::function<void(const std::string& line)>& write_line)
{
    load_runner runner(plan, seed, write_line);
    runner.started = clock::now();
    runner.make_sessions();
    for (std::size_t i = 0; i < plan.organisations.size(); ++i) {
        net::co_spawn(runner.io, runner.generate_arrivals(i), net::detached);
    }
    net::co_spawn(runner.io, runner.inject_faults(), net::detached);
    net::co_spawn(runner.io, runner.report_progress(), net::detached);
    net::co_spawn(runner.io, runner.stop_after_duration(), net::detached);
    runner.io.run();
    runner.totals.operations = runner.context->operations;
    runner.totals.failed = runner.context->failed;
    return runner.totals;
}

} // namespace primrosehead::load
