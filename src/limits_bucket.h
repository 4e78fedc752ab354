// A token bucket in whole numbers: never a fraction of a token more than rate x time.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>

namespace primrosehead::limits {

class bucket {
  public:
    [[nodiscard]] std::int64_t tokens() const noexcept { return tokens_; }

    // Adds what `rate` (thousandths a second) yields in `time`.
    void mint(std::int64_t rate, clock::duration time) noexcept;

    void add(std::int64_t amount) noexcept { tokens_ += amount; }
    void take(std::int64_t amount) noexcept { tokens_ -= amount; }

    // Drops what is above `most`.
    void cap(std::int64_t most) noexcept;
    void clear() noexcept;

  private:
    std::int64_t tokens_ = 0;
    std::int64_t fraction_ = 0; // thousandths of a thousandth
};

} // namespace primrosehead::limits
