// Counts the requests for tokens at one instance over a sliding window.
#pragma once

#include <primrosehead/clock.h>

#include <array>
#include <cstdint>

namespace primrosehead::limits {

class demand {
  public:
    static constexpr clock::duration window{200};

    void record(clock::time_point now);

    // Requests within the window that ends at `now`.
    [[nodiscard]] std::int64_t recent(clock::time_point now) const;

    [[nodiscard]] clock::time_point last_request_at() const noexcept { return last_request_at_; }

  private:
    static constexpr std::size_t slot_count = 10;
    static constexpr clock::duration slot_length = window / slot_count;

    struct slot {
        std::int64_t number = -1; // counted from the clock's epoch
        std::int64_t requests = 0;
    };

    std::array<slot, slot_count> slots_{};
    clock::time_point last_request_at_{};
};

} // namespace primrosehead::limits
