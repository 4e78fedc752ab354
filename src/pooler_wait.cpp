#include "pooler_wait.h"

namespace primrosehead::pooler {

namespace {

// A fifth: with the way back, the refusal arrives within a quarter of the objective.
constexpr int objective_divisor = 5;

} // namespace

wait_budget::wait_budget(clock::time_point began_at, clock::duration objective) noexcept
    : initial_deadline_(began_at + objective / objective_divisor),
      allowance_(objective / objective_divisor)
{
}

clock::time_point wait_budget::deadline(bool has_reached_server,
                                        clock::time_point now) const noexcept
{
    return has_reached_server ? now + allowance_ : initial_deadline_;
}

} // namespace primrosehead::pooler
