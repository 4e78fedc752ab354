#include "pooler_server.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double latency_weight = 0.2; // weight of a new measurement
// The unloaded latency follows faster statements quickly and slower ones slowly.
constexpr double unloaded_fall_weight = 0.05;
constexpr double unloaded_rise_weight = 0.005;
// Above this multiple of the unloaded latency, most of a statement's time is spent in the queue.
constexpr double queueing_factor = 2.5;
// Above this multiple of the unloaded latency, the server receives more than it can run.
constexpr double overload_factor = 5;
constexpr clock::duration overloaded_open_interval{250};
constexpr double default_latency_ms = 20;  // without measurements
constexpr double latency_decay_ms = 3'000; // time constant after which a slow server is used again
constexpr clock::duration min_avoidance{100};
constexpr clock::duration max_avoidance{1'500};
constexpr clock::duration saturation_time{
    500}; // other instances close idle connections within this time
// Dead connections count towards a server's limit until it notices, which takes seconds.
constexpr clock::duration min_open_backoff{20};
constexpr clock::duration max_open_backoff{160};
// An attempt to open a connection to a server that does not answer ends in this time.
constexpr clock::duration probe_time{600};
constexpr clock::duration min_lag_backoff{40};
constexpr clock::duration max_lag_backoff{640};

clock::duration exponential_backoff(clock::duration base, std::uint32_t failures,
                                    clock::duration max)
{
    constexpr std::uint32_t max_doublings = 10;
    return std::min(max, base * (1U << std::min(failures, max_doublings)));
}

} // namespace

void pooled_server::record_exchange(std::uint32_t queries, admission::outcome result,
                                    clock::time_point started_at, clock::time_point now)
{
    if (result == admission::outcome::done) {
        served_at = now;
    }
    if (pace) {
        pace->record({.work_class = queries,
                      .running = std::max(running, 1U),
                      .started_at = started_at,
                      .result = result},
                     now);
    }
}

void pooled_server::record_latency(double milliseconds, clock::time_point now)
{
    latency_ms = expected_latency_ms(now);
    latency_ms += latency_weight * (milliseconds - latency_ms);
    latency_updated_at = now;
    const double step =
        milliseconds < unloaded_latency_ms ? unloaded_fall_weight : unloaded_rise_weight;
    unloaded_latency_ms += step * (milliseconds - unloaded_latency_ms);
}

bool pooled_server::is_queueing(clock::time_point now) const
{
    return expected_latency_ms(now) > queueing_factor * unloaded_latency_ms;
}

bool pooled_server::may_open(clock::time_point now) const
{
    if (now < open_retry_at || (failures > 0 && now - opened_at < probe_time)) {
        return false;
    }
    const bool is_overloaded = expected_latency_ms(now) > overload_factor * unloaded_latency_ms;
    return open == 0 || !is_overloaded || now - opened_at >= overloaded_open_interval;
}

std::uint32_t pooled_server::running_limit(clock::time_point now) const
{
    if (pace) {
        return static_cast<std::uint32_t>(pace->concurrency(now));
    }
    return is_queueing(now) ? 1 : slots;
}

double pooled_server::expected_latency_ms(clock::time_point now) const
{
    const double age_ms = static_cast<double>((now - latency_updated_at).count());
    return default_latency_ms +
           (latency_ms - default_latency_ms) * std::exp(-age_ms / latency_decay_ms);
}

void pooled_server::record_success()
{
    failures = 0;
    avoided_until = clock::time_point{};
}

void pooled_server::record_failure(clock::time_point now, bool refused)
{
    const clock::duration base = refused ? min_avoidance : min_avoidance * 3;
    avoided_until = now + exponential_backoff(base, failures, max_avoidance);
    ++failures;
}

void pooled_server::record_saturation(clock::time_point now)
{
    saturated_limit = std::max(open, 1U);
    saturated_until = now + saturation_time;
    if (now >= open_retry_at) {
        // Another instance may just have closed one, so that the first retry is not delayed.
        open_retry_at =
            refused_opens == 0
                ? now
                : now + exponential_backoff(min_open_backoff, refused_opens - 1, max_open_backoff);
        ++refused_opens;
    }
}

void pooled_server::record_opened() noexcept
{
    refused_opens = 0;
    open_retry_at = clock::time_point{};
}

void pooled_server::record_lag(clock::time_point now)
{
    lagging_until = now + exponential_backoff(min_lag_backoff, lag_count, max_lag_backoff);
    ++lag_count;
}

} // namespace primrosehead::pooler
