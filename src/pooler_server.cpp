#include "pooler_server.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::pooler {

namespace {

constexpr double latency_weight = 0.2; // of a new measurement
// The unloaded latency follows fast statements soon and slow ones hardly.
constexpr double unloaded_falls = 0.05;
constexpr double unloaded_rises = 0.005;
// Beyond this multiple of it, statements spend most of their time in the server's queue.
constexpr double queueing_factor = 2.5;
// Beyond this multiple the server can't run what it is asked for.
constexpr double overload_factor = 5;
constexpr clock::duration opening_pause{250};
constexpr double usual_latency_ms = 20;     // of a server that nothing was heard of
constexpr double forget_latency_ms = 3'000; // a slow server is tried again after some of these
constexpr clock::duration first_avoidance{100};
constexpr clock::duration longest_avoidance{1'500};
constexpr clock::duration crowded_time{500}; // others give idle connections back within this
constexpr clock::duration first_behind{40};
constexpr clock::duration longest_behind{640};

clock::duration doubled(clock::duration first, std::uint32_t times, clock::duration most)
{
    constexpr std::uint32_t max_doublings = 10;
    return std::min(most, first * (1U << std::min(times, max_doublings)));
}

} // namespace

void pooled_server::note_latency(double milliseconds, clock::time_point now)
{
    latency_ms = expected_latency_ms(now);
    latency_ms += latency_weight * (milliseconds - latency_ms);
    latency_at = now;
    const double step = milliseconds < unloaded_ms ? unloaded_falls : unloaded_rises;
    unloaded_ms += step * (milliseconds - unloaded_ms);
}

bool pooled_server::is_queueing(clock::time_point now) const
{
    return expected_latency_ms(now) > queueing_factor * unloaded_ms;
}

bool pooled_server::may_open(clock::time_point now) const
{
    const bool is_overloaded = expected_latency_ms(now) > overload_factor * unloaded_ms;
    return open == 0 || !is_overloaded || now - opened_at >= opening_pause;
}

std::uint32_t pooled_server::running_limit(clock::time_point now) const
{
    return is_queueing(now) ? 1 : slots;
}

double pooled_server::expected_latency_ms(clock::time_point now) const
{
    const double age_ms = static_cast<double>((now - latency_at).count());
    return usual_latency_ms +
           (latency_ms - usual_latency_ms) * std::exp(-age_ms / forget_latency_ms);
}

void pooled_server::note_success()
{
    failures = 0;
    avoid_until = clock::time_point{};
}

void pooled_server::note_failure(clock::time_point now, bool refused)
{
    const clock::duration first = refused ? first_avoidance : first_avoidance * 3;
    avoid_until = now + doubled(first, failures, longest_avoidance);
    ++failures;
}

void pooled_server::note_crowded(clock::time_point now)
{
    crowded_limit = std::max(open, 1U);
    crowded_until = now + crowded_time;
}

void pooled_server::note_behind(clock::time_point now)
{
    behind_until = now + doubled(first_behind, behind_count, longest_behind);
    ++behind_count;
}

} // namespace primrosehead::pooler
