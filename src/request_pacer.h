// Decides when the large parts of a reply (the document, the whole directory) are requested. Pure.
//
// A requester that repeats its request while the answer is on its way fills its own link with
// copies: at most one such request is unanswered, and it is repeated after a timeout that doubles.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <string_view>

namespace primrosehead {

class request_pacer {
  public:
    // `requester` selects the jitter, so that requesters that start together don't ask together.
    explicit request_pacer(std::string_view requester);

    // True if large parts may be requested now.
    [[nodiscard]] bool is_ready(clock::time_point now) const noexcept;

    // True if a part was deferred and is due to be requested again.
    [[nodiscard]] bool is_retry_due(clock::time_point now) const noexcept
    {
        return unanswered_ == 0 && is_deferred_ && now >= not_before_;
    }

    // Records that the request `sequence`, which is not 0, asks for large parts.
    void record_request(std::uint64_t sequence, clock::time_point now);

    // Records the reply to a request. A positive `retry_after` means that the sender has a part
    // that it sends later.
    void record_answer(std::uint64_t sequence, clock::duration retry_after, clock::time_point now);

    // Records that the unanswered request will not be answered: its connection is closed.
    void record_loss() noexcept { unanswered_ = 0; }

    // True while a request is unanswered and has not timed out.
    [[nodiscard]] bool is_waiting(clock::time_point now) const noexcept
    {
        return unanswered_ != 0 && now < expires_at_;
    }

  private:
    std::uint64_t seed_;
    std::uint64_t unanswered_ = 0; // sequence of the request; 0: none
    std::uint32_t timeouts_ = 0;   // in a row
    bool is_deferred_ = false;     // by the latest answer
    clock::time_point expires_at_{};
    clock::time_point not_before_{};
};

} // namespace primrosehead
