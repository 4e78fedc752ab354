#include "pooler_wait.h"

#include <algorithm>

namespace primrosehead::pooler {

namespace {

// With a fifth of the objective, the refusal reaches the caller within a quarter of it.
constexpr int objective_divisor = 5;
// A statement that starts later than after three quarters of its time-out may not finish in time.
constexpr int outage_wait_quarters = 3;
constexpr clock::duration min_stall_time{250};
constexpr double stall_latency_factor = 3;

} // namespace

wait_budget::wait_budget(clock::time_point received_at, clock::time_point asked_at,
                         clock::duration objective, clock::duration statement_timeout) noexcept
    : initial_deadline_(asked_at + objective / objective_divisor),
      allowance_(objective / objective_divisor),
      outage_deadline_(pooler::outage_deadline(received_at, statement_timeout))
{
}

clock::time_point wait_budget::deadline(bool has_reached_server,
                                        clock::time_point now) const noexcept
{
    return has_reached_server ? now + allowance_ : initial_deadline_;
}

clock::time_point outage_deadline(clock::time_point received_at,
                                  clock::duration statement_timeout) noexcept
{
    return received_at + statement_timeout * outage_wait_quarters / 4;
}

bool has_stalled(clock::time_point last_served_at, double expected_latency_ms,
                 clock::time_point now) noexcept
{
    const clock::duration latency_limit(
        static_cast<clock::rep>(expected_latency_ms * stall_latency_factor));
    return now - last_served_at > std::max(min_stall_time, latency_limit);
}

} // namespace primrosehead::pooler
