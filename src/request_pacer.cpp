#include "request_pacer.h"

#include <algorithm>
#include <xxhash.h>

namespace primrosehead {

namespace {

// A reply of 80 KB takes 0.32 s over a link of 0.25 MB per second.
constexpr clock::duration min_timeout{1'000};
constexpr clock::duration max_timeout{8'000};
constexpr std::uint32_t max_doublings = 3;
constexpr int jitter_divisor = 4; // the jitter is at most this part of the timeout

} // namespace

request_pacer::request_pacer(std::string_view requester)
    : seed_(XXH3_64bits(requester.data(), requester.size()))
{
}

bool request_pacer::is_ready(clock::time_point now) const noexcept
{
    return now >= (unanswered_ == 0 ? not_before_ : expires_at_);
}

void request_pacer::record_request(std::uint64_t sequence, clock::time_point now)
{
    timeouts_ = unanswered_ == 0 ? 0 : std::min(timeouts_ + 1, max_doublings);
    const clock::duration timeout = std::min(max_timeout, min_timeout * (1U << timeouts_));
    const std::uint64_t hash = XXH3_64bits_withSeed(&sequence, sizeof sequence, seed_);
    const std::int64_t max_jitter = timeout.count() / jitter_divisor;
    unanswered_ = sequence;
    is_deferred_ = false;
    expires_at_ =
        now + timeout +
        clock::duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(max_jitter)));
}

void request_pacer::record_answer(std::uint64_t sequence, clock::duration retry_after,
                                  clock::time_point now)
{
    if (unanswered_ == 0 || sequence != unanswered_) {
        return;
    }
    unanswered_ = 0;
    timeouts_ = 0;
    is_deferred_ = retry_after > clock::duration(0);
    not_before_ = now + std::clamp(retry_after, clock::duration(0), max_timeout);
}

} // namespace primrosehead
