// Granted tokens with their ends, the earliest first.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <deque>

namespace primrosehead::limits {

class expiring_tokens {
  public:
    void add(std::int64_t amount, clock::time_point expires_at);

    void add_all(const expiring_tokens& others);

    // Drops those that have ended.
    void expire(clock::time_point now);

    // Takes up to `amount`, of the earliest ends first; returns how much it was.
    std::int64_t take(std::int64_t amount);

    [[nodiscard]] std::int64_t total() const noexcept { return total_; }
    [[nodiscard]] bool empty() const noexcept { return batches_.empty(); }

    // How much ends before `time`.
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
