// Limits how long an operation waits for a connection before it is refused. Pure.
//
// When the primary receives more operations than it can run, because replicas lag or it is slow,
// some operations can't be served. They are refused early enough for their callers to go
// elsewhere, however often they were retried, while the others keep every slot busy.
#pragma once

#include <primrosehead/clock.h>

namespace primrosehead::pooler {

class wait_budget {
  public:
    wait_budget() = default;
    // Starts at `began_at`, when the operation was received or its transaction requested its first
    // connection. `objective` is the operation's latency objective.
    wait_budget(clock::time_point began_at, clock::duration objective) noexcept;

    // Returns when to stop waiting. An operation that has reached a server gets the full allowance
    // again.
    [[nodiscard]] clock::time_point deadline(bool has_reached_server,
                                             clock::time_point now) const noexcept;

  private:
    clock::time_point initial_deadline_{};
    clock::duration allowance_{0};
};

} // namespace primrosehead::pooler
