#include "pooler_wait.h"

namespace primrosehead::pooler {

namespace {

// A fifth: with the way back, the refusal arrives within a quarter of the objective.
constexpr int parts_of_objective = 5;

} // namespace

wait_budget::wait_budget(clock::time_point began_at, clock::duration objective) noexcept
    : until_(began_at + objective / parts_of_objective), part_(objective / parts_of_objective)
{
}

clock::time_point wait_budget::ends_at(bool has_reached_server,
                                       clock::time_point now) const noexcept
{
    return has_reached_server ? now + part_ : until_;
}

} // namespace primrosehead::pooler
