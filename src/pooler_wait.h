// How long an operation waits for a connection before it is refused. Pure.
//
// Load that this answers: a primary that is asked for more than it runs, because replicas lag or
// it is slow. Some operations can't be served; each of these is to be told early enough that its
// caller can go elsewhere, however often it was tried, while the others keep every slot busy.
#pragma once

#include <primrosehead/clock.h>

namespace primrosehead::pooler {

class wait_budget {
  public:
    wait_budget() = default;
    // An operation of this latency objective that was received, or whose transaction wants its
    // first connection, at `began_at`.
    wait_budget(clock::time_point began_at, clock::duration objective) noexcept;

    // When to stop waiting. An operation that a server had in hand gets its part once more.
    [[nodiscard]] clock::time_point deadline(bool has_reached_server,
                                             clock::time_point now) const noexcept;

  private:
    clock::time_point initial_deadline_{};
    clock::duration allowance_{0};
};

} // namespace primrosehead::pooler
