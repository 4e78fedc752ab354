// One organisation's rate and burst at this instance: its share of the fleet's (cell_share_allocator.h).
// Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>

namespace primrosehead::pooler {

// How often an instance tells the leader its shares: at once while one lacks.
[[nodiscard]] clock::duration shares_interval(bool lacks_share) noexcept;

// How often what is missing is asked for.
inline constexpr clock::duration top_up_interval{100};

// What instances share out of an organisation's rate and burst; the leader keeps the rest.
struct own_parts {
    double rate = 1;
    double burst = 1;
};

class limiter {
  public:
    explicit limiter(clock::time_point now) : refilled_at_(now), counted_at_(now) {}

    // The fleet's rate and burst, in operations, and what the contract tolerates for being counted
    // at many instances: operations on top of every burst, of which this instance may use a part.
    void change(double rate, double burst, own_parts shared_out, double tolerated) noexcept;

    // Without the leader an instance also uses its share of the leader's part, which the leader
    // holds back for it (cell_token_buckets.h).
    void set_alone(bool is_alone, clock::time_point now) noexcept;

    // This instance's share, in millionths.
    void set_share(std::uint32_t millionths, clock::time_point now) noexcept;
    [[nodiscard]] std::uint32_t share() const noexcept { return share_; }

    // The lease under which the share was held ran out: others may hold it by now.
    void lose_share(clock::time_point now) noexcept;

    // Operations come, but the leader has not granted a share yet.
    [[nodiscard]] bool lacks_share() const noexcept;

    // Takes one operation's token.
    [[nodiscard]] bool take(clock::time_point now) noexcept;

    // The same for an operation that was counted as asked for before.
    [[nodiscard]] bool take_again(clock::time_point now) noexcept;

    // Tokens out of the leader's part. They fill up what this instance may hold; those beyond it
    // are spent soon or not at all.
    void granted(std::uint32_t tokens, clock::time_point now) noexcept;

    // Tokens to ask the leader for ahead, so that there are some when it falls silent.
    [[nodiscard]] std::uint32_t missing(clock::time_point now) noexcept;

    // Gives the token of an operation back that nothing was run for.
    void give_back() noexcept;

    // When a token will be there.
    [[nodiscard]] clock::duration retry_after() const noexcept;

    // Operations a second that were asked for, smoothed.
    [[nodiscard]] double demand(clock::time_point now) noexcept;

  private:
    void refill(clock::time_point now) noexcept;
    [[nodiscard]] double capacity() const noexcept;
    [[nodiscard]] double own(double part) const noexcept;

    double rate_ = 0;
    double burst_ = 0;
    double tolerated_ = 0;
    own_parts shared_out_;
    bool is_alone_ = false;
    std::uint32_t share_ = 0;
    double tokens_ = 0;
    std::uint32_t granted_ = 0;
    clock::time_point granted_at_{};
    clock::time_point refilled_at_;
    bool is_fresh_ = true; // no share yet

    std::uint32_t asked_ = 0;
    double demand_ = 0;
    clock::time_point counted_at_;
};

} // namespace primrosehead::pooler
