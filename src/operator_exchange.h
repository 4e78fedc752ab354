// Delivery of an operator's request to the control leader: which instance to send it to next, and
// what is known about its outcome. No I/O: the time and the replies are arguments.
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
    clock::duration attempt_timeout{700};  // wait for a reply before the next instance is tried
    clock::duration retry_delay{50};       // after a reply that is not final
    clock::duration total_timeout{10'000}; // for all attempts together
};

enum class exchange_state {
    in_progress,
    answered, // `last_reply` is final
    not_run,  // no instance accepted the request: it certainly did not run
    unknown,  // it may have run
};

// Sends the same request, with the same id, to one instance after another until a reply is final.
class operator_exchange {
  public:
    operator_exchange(std::vector<std::string> endpoints, exchange_timing timing,
                      clock::time_point now);

    // Returns the endpoint to send the request to now, if any, and counts the send.
    [[nodiscard]] std::optional<std::string> next_send(clock::time_point now);

    // Handles a reply to any of the sends.
    void receive(const pb::operator_reply& reply, clock::time_point now);

    [[nodiscard]] exchange_state state(clock::time_point now) const noexcept;

    // Returns the final reply or, before there is one, the latest reply.
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
    std::uint32_t unresolved_sends_ = 0; // sends that may have been accepted
    bool is_complete_ = false;
    std::optional<pb::operator_reply> last_reply_;
};

} // namespace primrosehead
