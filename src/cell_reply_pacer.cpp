#include "cell_reply_pacer.h"

#include <primrosehead/clock.h>

#include <xxhash.h>

namespace primrosehead::cell {

namespace {

// Smaller parts take under 35 ms of a link of 0.25 MB per second.
constexpr std::size_t large_part_bytes = 8'192;
// 25 parts of 40 KB. Over links of 0.25 MB per second they take 0.16 s, so that 50 requesters of a
// relay have the document and the directory within a second.
constexpr std::size_t max_bytes_in_flight = 1'048'576;
// A part whose requester does not come back in time was lost, or its requester has ended or follows
// another endpoint. The time is that of a link at half of its bandwidth, and a request's round
// trip.
constexpr clock::duration min_in_flight_time{200};
constexpr std::size_t slow_link_bytes_per_ms = 125;
constexpr std::uint32_t min_retry_ms = 100;
constexpr std::uint32_t retry_spread_ms = 150;

} // namespace

void reply_pacer::release(std::string_view requester)
{
    const auto found = in_flight_.find(requester);
    if (found != in_flight_.end()) {
        bytes_in_flight_ -= found->second.bytes;
        in_flight_.erase(found);
    }
}

void reply_pacer::expire(clock::time_point now)
{
    std::erase_if(in_flight_, [&](const auto& item) {
        const bool is_expired = now >= item.second.expires_at;
        bytes_in_flight_ -= is_expired ? item.second.bytes : 0;
        return is_expired;
    });
}

std::uint32_t reply_pacer::admit(std::string_view requester, std::size_t bytes,
                                 clock::time_point now)
{
    if (bytes < large_part_bytes) {
        return 0;
    }
    expire(now);
    const bool has_one = in_flight_.contains(requester);
    const bool is_full = bytes_in_flight_ > 0 && bytes_in_flight_ + bytes > max_bytes_in_flight;
    if (has_one || is_full) {
        ++deferred_;
        return retry_after_ms(requester, now);
    }
    in_flight_.emplace(std::string(requester),
                       sent_reply{bytes, now + min_in_flight_time +
                                             clock::duration(static_cast<std::int64_t>(
                                                 bytes / slow_link_bytes_per_ms))});
    bytes_in_flight_ += bytes;
    return 0;
}

std::uint32_t reply_pacer::retry_after_ms(std::string_view requester, clock::time_point now)
{
    const std::int64_t time = to_ms(now);
    const std::uint64_t seed = XXH3_64bits(requester.data(), requester.size());
    return min_retry_ms + static_cast<std::uint32_t>(
                              XXH3_64bits_withSeed(&time, sizeof time, seed) % retry_spread_ms);
}

} // namespace primrosehead::cell
