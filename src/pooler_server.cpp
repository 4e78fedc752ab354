#include "pooler_server.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double latency_weight = 0.2; // of a new measurement
// The unloaded latency follows fast statements soon and slow ones hardly.
constexpr double unloaded_fall_weight = 0.05;
constexpr double unloaded_rise_weight = 0.005;
// Beyond this multiple of it, statements spend most of their time in the server's queue.
constexpr double queueing_factor = 2.5;
// Beyond this multiple the server can't run what it is asked for.
constexpr double overload_factor = 5;
constexpr clock::duration overloaded_open_interval{250};
constexpr double default_latency_ms = 20;  // of a server that nothing was heard of
constexpr double latency_decay_ms = 3'000; // a slow server is tried again after some of these
constexpr clock::duration min_avoidance{100};
constexpr clock::duration max_avoidance{1'500};
constexpr clock::duration saturation_time{500}; // others give idle connections back within this
constexpr clock::duration min_lag_backoff{40};
constexpr clock::duration max_lag_backoff{640};

clock::duration exponential_backoff(clock::duration first, std::uint32_t times,
                                    clock::duration most)
{
    constexpr std::uint32_t max_doublings = 10;
    return std::min(most, first * (1U << std::min(times, max_doublings)));
}

} // namespace

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
    const bool is_overloaded = expected_latency_ms(now) > overload_factor * unloaded_latency_ms;
    return open == 0 || !is_overloaded || now - opened_at >= overloaded_open_interval;
}

std::uint32_t pooled_server::running_limit(clock::time_point now) const
{
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
    const clock::duration first = refused ? min_avoidance : min_avoidance * 3;
    avoided_until = now + exponential_backoff(first, failures, max_avoidance);
    ++failures;
}

void pooled_server::record_saturation(clock::time_point now)
{
    saturated_limit = std::max(open, 1U);
    saturated_until = now + saturation_time;
}

void pooled_server::record_lag(clock::time_point now)
{
    lagging_until = now + exponential_backoff(min_lag_backoff, lag_count, max_lag_backoff);
    ++lag_count;
}

} // namespace primrosehead::pooler
