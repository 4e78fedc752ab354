// Token bucket in integer arithmetic: never mints more than rate x time, not even by a fraction of
// a token.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>

namespace primrosehead::limits {

class bucket {
  public:
    [[nodiscard]] std::int64_t tokens() const noexcept { return tokens_; }

    // Adds the tokens that `rate` (thousandths of a request per second) yields in `time`.
    void mint(std::int64_t rate, clock::duration time) noexcept;

    void add(std::int64_t amount) noexcept { tokens_ += amount; }
    void take(std::int64_t amount) noexcept { tokens_ -= amount; }

    // Drops tokens above `limit`.
    void cap(std::int64_t limit) noexcept;
    void clear() noexcept;

  private:
    std::int64_t tokens_ = 0;
    std::int64_t fraction_ = 0; // of a token, in thousandths
};

} // namespace primrosehead::limits
