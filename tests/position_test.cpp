#include <primrosehead/position.h>

#include <doctest/doctest.h>

#include <array>

using primrosehead::log_position;
using primrosehead::standing;
using primrosehead::standing_of;
using primrosehead::term_begin;

TEST_CASE("a position is lost when a later term began before it")
{
    const std::array terms{term_begin{1, 0}, term_begin{2, 40}, term_begin{4, 60}};
    CHECK(standing_of(log_position{1, 40}, terms) == standing::kept);
    CHECK(standing_of(log_position{1, 41}, terms) == standing::lost);
    CHECK(standing_of(log_position{2, 60}, terms) == standing::kept);
    CHECK(standing_of(log_position{2, 61}, terms) == standing::lost);
    CHECK(standing_of(log_position{4, 1'000}, terms) == standing::kept);
    CHECK(standing_of(log_position{5, 61}, terms) == standing::unknown);
    CHECK(standing_of(log_position{0, 0}, terms) == standing::kept);
}
