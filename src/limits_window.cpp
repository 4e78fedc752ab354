#include "limits_model.h"

#include <algorithm>

namespace primrosehead::limits {

// A window from admission i to admission j holds j - i + 1 admissions. With surplus(k) = k - rate x
// t(k), the bound is surplus(j) - surplus(i) + 1 <= burst, and the window that starts at the lowest
// surplus so far is the one closest to breaching it.
std::optional<clock::time_point> find_breach(std::span<const clock::time_point> admissions,
                                             double rate, double burst)
{
    constexpr double milliseconds_per_second = 1'000;
    constexpr double rounding = 1e-6;
    double lowest = 0;
    double count = 0;
    for (const clock::time_point at : admissions) {
        const double surplus =
            count - rate * static_cast<double>(to_ms(at)) / milliseconds_per_second;
        lowest = count == 0 ? surplus : std::min(lowest, surplus);
        if (surplus - lowest + 1 > burst + rounding) {
            return at;
        }
        ++count;
    }
    return std::nullopt;
}

} // namespace primrosehead::limits
