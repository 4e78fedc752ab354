// Rate limiter of one organisation at this instance, which has a share of the fleet's rate and
// burst (cell_share_allocator.h). Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <optional>

namespace primrosehead::pooler {

// Interval between share reports to the leader; zero while an organisation needs a share.
[[nodiscard]] clock::duration share_report_interval(bool needs_share) noexcept;

// Interval between requests for missing tokens.
inline constexpr clock::duration token_request_interval{100};

// Fractions of an organisation's rate and burst that are distributed to the instances; the leader
// keeps the remainder.
struct distributed_fractions {
    double rate = 1;
    double burst = 1;
};

class limiter {
  public:
    explicit limiter(clock::time_point now) : refilled_at_(now), counted_at_(now) {}

    // Sets the fleet's rate and burst, in operations. `tolerance` is this instance's part of the
    // operations that the contract tolerates on top of a burst because many instances count.
    void set_limits(double rate, double burst, distributed_fractions distributed,
                    double tolerance) noexcept;

    // While isolated from the leader, an instance also uses its share of the leader's part, which
    // the leader reserves for it (cell_token_buckets.h).
    void set_isolated(bool is_isolated, clock::time_point now) noexcept;

    // Sets this instance's share, in millionths.
    void set_share(std::uint32_t millionths, clock::time_point now) noexcept;
    [[nodiscard]] std::uint32_t share() const noexcept { return share_; }

    // Drops the share when its lease expires: the leader may have granted it to other instances.
    void drop_share(clock::time_point now) noexcept;

    // True when operations arrive but the leader has not granted a share yet.
    [[nodiscard]] bool needs_share() const noexcept;

    // Takes one operation's token. False: none is available.
    [[nodiscard]] bool try_take(clock::time_point now) noexcept;

    // Does the same, and counts the operation in the demand only if it gets the token.
    [[nodiscard]] bool try_take_counted_if_taken(clock::time_point now) noexcept;

    // Counts an operation in the demand.
    void count_arrival() noexcept { ++arrivals_; }

    // Does the same for an operation that is already counted in the demand.
    [[nodiscard]] bool try_take_uncounted(clock::time_point now) noexcept;

    // Adds tokens from the leader's part. Tokens above this instance's capacity expire soon.
    void add_granted_tokens(std::uint32_t tokens, clock::time_point now) noexcept;

    // Returns the tokens to request from the leader in advance, so that some are available when it
    // stops replying.
    [[nodiscard]] std::uint32_t missing_tokens(clock::time_point now) noexcept;

    // Returns the token of an operation that did not run.
    void return_token() noexcept;

    // Returns the time until the next token: the granting process's, if it told one.
    [[nodiscard]] clock::duration retry_after() const noexcept;
    void set_retry_after(clock::duration time) noexcept { told_retry_after_ = time; }

    // Returns the smoothed arrival rate, in operations per second.
    [[nodiscard]] double demand(clock::time_point now) noexcept;

  private:
    void refill(clock::time_point now) noexcept;
    [[nodiscard]] double capacity() const noexcept;
    [[nodiscard]] double own_share(double fraction) const noexcept;

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
    bool never_had_share_ = true;
    std::optional<clock::duration> told_retry_after_;

    std::uint32_t arrivals_ = 0;
    double demand_ = 0;
    clock::time_point counted_at_;
};

} // namespace primrosehead::pooler
