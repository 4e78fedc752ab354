// How an operator's request reaches the control leader: which instance to ask next, and what is
// known of the outcome. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace primrosehead {

struct exchange_timing {
    clock::duration attempt_timeout{700};  // silence of an instance before the next is asked
    clock::duration retry_delay{50};       // after an answer that does not settle the request
    clock::duration total_timeout{10'000}; // of the whole exchange
};

enum class exchange_state {
    in_progress,
    answered, // `answer` settles the request
    not_run,  // nobody took the request: it certainly did not run
    unknown,  // it may have run
};

// Sends the same request, under the same id, to one instance after the other until one settles it.
class operator_exchange {
  public:
    operator_exchange(std::vector<std::string> endpoints, exchange_timing timing,
                      clock::time_point now);

    // The endpoint to send the request to now, if any.
    [[nodiscard]] std::optional<std::string> next_send(clock::time_point now);

    // A reply to the request, from whichever send.
    void receive(const pb::operator_reply& reply, clock::time_point now);

    [[nodiscard]] exchange_state state(clock::time_point now) const noexcept;

    // The settling answer; without one the last that did not settle the request.
    [[nodiscard]] const std::optional<pb::operator_reply>& last_reply() const noexcept;

  private:
    [[nodiscard]] std::string choose_endpoint();
    void schedule_retry(const pb::operator_reply& reply, clock::time_point now);

    std::vector<std::string> endpoints_;
    exchange_timing timing_;
    clock::time_point deadline_;
    clock::time_point next_send_time_;
    std::size_t next_index_ = 0;
    std::string leader_hint_;
    std::string last_endpoint_;
    std::uint32_t unresolved_sends_ = 0; // sends that may have been taken
    bool is_complete_ = false;
    std::optional<pb::operator_reply> last_reply_;
};

} // namespace primrosehead
