// Token buckets for the leader's part of every organisation's rate and burst, from which instances
// draw when their own share is used up. Pure.
//
// With many instances, each one's share of a small organisation is less than one operation, so that
// without this reserve most operations would be refused although the rate is not reached.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead::cell {

// Returns the part of the rate that the leader keeps, in millionths; the rest is divided among the
// instances. It grows with the number of instances: with many, each share is too small to be
// useful; with few, the shares let the instances continue without the leader.
[[nodiscard]] std::uint32_t central_rate_ppm(std::uint32_t instances) noexcept;

// Returns the leader's part of bursts (0 to 1) for its part of rates, in millionths. It is capped
// because an instance that loses the leader relies on its own tokens until it detects the loss.
[[nodiscard]] double central_burst_fraction(std::uint32_t central_ppm) noexcept;

// An instance without a confirmed reply for this long may already be using its share of the
// leader's part, so the leader stops granting that share to others.
inline constexpr clock::duration confirmation_timeout{650};

class token_buckets {
  public:
    // Buckets start empty: an earlier leader may have granted their tokens.
    explicit token_buckets(clock::time_point elected_at) : elected_at_(elected_at) {}

    // Sets the leader's part of an organisation's rate (operations per second) and burst
    // (operations).
    void set_limits(std::string_view organisation, double rate, double burst);

    // Takes up to `wanted` operations' tokens and returns how many. `available` is the part of the
    // bucket, in millionths, that is not reserved for instances that may have lost the leader.
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
