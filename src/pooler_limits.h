// One organisation's rate and burst at this instance: its share of the fleet's
// (cell_share_allocator.h). Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>

namespace primrosehead::pooler {

// How often an instance tells the leader its shares: at once while one lacks.
[[nodiscard]] clock::duration share_report_interval(bool needs_share) noexcept;

// How often what is missing is asked for.
inline constexpr clock::duration token_request_interval{100};

// What instances share out of an organisation's rate and burst; the leader keeps the rest.
struct distributed_fractions {
    double rate = 1;
    double burst = 1;
};

class limiter {
  public:
    explicit limiter(clock::time_point now) : refilled_at_(now), counted_at_(now) {}

    // The fleet's rate and burst, in operations, and what the contract tolerates for being counted
    // at many instances: operations on top of every burst, of which this instance may use a part.
    void set_limits(double rate, double burst, distributed_fractions distributed,
                    double tolerance) noexcept;

    // Without the leader an instance also uses its share of the leader's part, which the leader
    // holds back for it (cell_token_buckets.h).
    void set_isolated(bool is_isolated, clock::time_point now) noexcept;

    // This instance's share, in millionths.
    void set_share(std::uint32_t millionths, clock::time_point now) noexcept;
    [[nodiscard]] std::uint32_t share() const noexcept { return share_; }

    // The lease under which the share was held ran out: others may hold it by now.
    void drop_share(clock::time_point now) noexcept;

    // Operations come, but the leader has not granted a share yet.
    [[nodiscard]] bool needs_share() const noexcept;

    // Takes one operation's token.
    [[nodiscard]] bool try_take(clock::time_point now) noexcept;

    // The same for an operation that was counted as asked for before.
    [[nodiscard]] bool try_take_uncounted(clock::time_point now) noexcept;

    // Tokens out of the leader's part. They fill up what this instance may hold; those beyond it
    // are spent soon or not at all.
    void add_granted_tokens(std::uint32_t tokens, clock::time_point now) noexcept;

    // Tokens to ask the leader for ahead, so that there are some when it falls silent.
    [[nodiscard]] std::uint32_t missing_tokens(clock::time_point now) noexcept;

    // Gives the token of an operation back that nothing was run for.
    void return_token() noexcept;

    // When a token will be there.
    [[nodiscard]] clock::duration retry_after() const noexcept;

    // Operations a second that were asked for, smoothed.
    [[nodiscard]] double demand(clock::time_point now) noexcept;

  private:
    void refill(clock::time_point now) noexcept;
    [[nodiscard]] double capacity() const noexcept;
    [[nodiscard]] double own_share(double part) const noexcept;

    double rate_ = 0;
    double burst_ = 0;
    double tolerance_ = 0;
    distributed_fractions distributed_;
    bool is_isolated_ = false;
    std::uint32_t share_ = 0;
    double tokens_ = 0;
    std::uint32_t granted_ = 0;
    clock::time_point granted_at_{};
    clock::time_point refilled_at_;
    bool never_had_share_ = true; // no share yet

    std::uint32_t arrivals_ = 0;
    double demand_ = 0;
    clock::time_point counted_at_;
};

} // namespace primrosehead::pooler
