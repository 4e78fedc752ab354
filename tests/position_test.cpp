#include <primrosehead/position.h>

#include <doctest/doctest.h>

#include <array>

using primrosehead::classify_position;
using primrosehead::log_position;
using primrosehead::position_status;
using primrosehead::term_boundary;

TEST_CASE("a position is lost when a later term began before it")
{
    const std::array terms{term_boundary{1, 0}, term_boundary{2, 40}, term_boundary{4, 60}};
    CHECK(classify_position(log_position{1, 40}, terms) == position_status::retained);
    CHECK(classify_position(log_position{1, 41}, terms) == position_status::lost);
    CHECK(classify_position(log_position{2, 60}, terms) == position_status::retained);
    CHECK(classify_position(log_position{2, 61}, terms) == position_status::lost);
    CHECK(classify_position(log_position{4, 1'000}, terms) == position_status::retained);
    CHECK(classify_position(log_position{5, 61}, terms) == position_status::unknown);
    CHECK(classify_position(log_position{0, 0}, terms) == position_status::retained);
}
