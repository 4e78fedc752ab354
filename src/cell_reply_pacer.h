// Bounds the large replies that a control instance sends at once. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead::cell {

class reply_pacer {
  public:
    // Records that the requester is ready for large parts: the previous one has arrived or the
    // requester has given it up.
    void release(std::string_view requester);

    // Returns 0 if a part of `bytes` may be sent to the requester, and counts it as in flight until
    // it is released or times out. Otherwise returns the time in ms after which to ask again. Small
    // parts are always admitted.
    [[nodiscard]] std::uint32_t admit(std::string_view requester, std::size_t bytes,
                                      clock::time_point now);

    // Returns a time in ms after which to ask again, spread by requester.
    [[nodiscard]] static std::uint32_t retry_after_ms(std::string_view requester,
                                                      clock::time_point now);

    [[nodiscard]] std::size_t bytes_in_flight() const noexcept { return bytes_in_flight_; }
    [[nodiscard]] std::uint64_t deferred() const noexcept { return deferred_; }

  private:
    struct sent_reply {
        std::size_t bytes = 0;
        clock::time_point expires_at;
    };
    void expire(clock::time_point now);

    std::map<std::string, sent_reply, std::less<>> in_flight_; // by requester
    std::size_t bytes_in_flight_ = 0;
    std::uint64_t deferred_ = 0;
};

} // namespace primrosehead::cell
