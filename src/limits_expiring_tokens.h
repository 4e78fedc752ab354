// Granted tokens with their expiry times, ordered by expiry.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <deque>

namespace primrosehead::limits {

class expiring_tokens {
  public:
    void add(std::int64_t amount, clock::time_point expires_at);

    void add_all(const expiring_tokens& others);

    // Drops expired tokens.
    void expire(clock::time_point now);

    // Takes up to `amount` tokens, starting with those that expire first. Returns the amount taken.
    std::int64_t take(std::int64_t amount);

    [[nodiscard]] std::int64_t total() const noexcept { return total_; }
    [[nodiscard]] bool empty() const noexcept { return batches_.empty(); }

    // Tokens that expire before `time`.
    [[nodiscard]] std::int64_t expiring_before(clock::time_point time) const;

  private:
    struct batch {
        std::int64_t amount = 0;
        clock::time_point expires_at;
    };

    std::deque<batch> batches_;
    std::int64_t total_ = 0;
};

} // namespace primrosehead::limits
