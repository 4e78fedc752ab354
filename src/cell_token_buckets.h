// The leader's part of every organisation's rate and burst, for instances whose own share is used
// up. Pure.
//
// Load that this answers: with many instances each one's share of a small organisation is less than
// one operation, so that most operations would be refused although the rate is not reached.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead::cell {

// The part that the leader keeps for so many instances, in millionths; the rest is shared out. More
// instances make shares useless, fewer make them the way to go on without the leader.
[[nodiscard]] std::uint32_t central_rate_ppm(std::uint32_t instances) noexcept;

// The leader's part of bursts, for its part of rates. It keeps less of them: instances go on by
// what they hold until they count themselves alone.
[[nodiscard]] double central_burst_fraction(std::uint32_t central_rate) noexcept;

// An instance that has not confirmed an answer for so long may live on its share of the leader's
// part; the leader holds it back from now on.
inline constexpr clock::duration confirmation_timeout{650};

class token_buckets {
  public:
    // Starts empty: an earlier leader may have granted what was there.
    explicit token_buckets(clock::time_point elected_at) : elected_at_(elected_at) {}

    // The leader's part of an organisation's rate and burst.
    void set_limits(std::string_view organisation, double rate, double burst);

    // Grants up to `wanted` operations. `available`: what is not held back for instances that may
    // be without the leader, in millionths of its part.
    [[nodiscard]] std::uint32_t take(std::string_view organisation, std::uint32_t wanted,
                                     std::uint32_t available, clock::time_point now);

  private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        clock::time_point refilled_at;
    };

    clock::time_point elected_at_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace primrosehead::cell
