// Decides how long callers wait for what an operation needs, and what is refused at once. Pure.
//
// Two loads are told apart. When servers run statements but receive more than they can run, some
// operations can't be served: they are refused early, so that the others keep every slot busy and
// are served in time. When nothing runs at all, because an instance has no share of a rate yet or a
// server's connections are taken by peers that are gone, the operations would be refused at every
// instance until service resumes: they wait for it within their time-out.
#pragma once

#include <primrosehead/clock.h>

namespace primrosehead::pooler {

class wait_budget {
  public:
    wait_budget() = default;
    // `received_at`: when the statement was received; `asked_at`: when it requested its first
    // connection. `objective` is the operation's latency objective.
    wait_budget(clock::time_point received_at, clock::time_point asked_at,
                clock::duration objective, clock::duration statement_timeout) noexcept;

    // Returns when to stop waiting for servers that are running other statements. An operation that
    // has reached a server gets the full allowance again.
    [[nodiscard]] clock::time_point deadline(bool has_reached_server,
                                             clock::time_point now) const noexcept;

    // Returns when to stop waiting for service to resume. The remainder of the time-out is for the
    // statement itself.
    [[nodiscard]] clock::time_point outage_deadline() const noexcept { return outage_deadline_; }

  private:
    clock::time_point initial_deadline_{};
    clock::duration allowance_{0};
    clock::time_point outage_deadline_{};
};

// Returns until when a statement received at `received_at` may wait for an outage to end.
[[nodiscard]] clock::time_point outage_deadline(clock::time_point received_at,
                                                clock::duration statement_timeout) noexcept;

// Returns whether a server has stopped serving this instance: no statement has been answered since
// `last_served_at`, though statements take `expected_latency_ms`.
[[nodiscard]] bool has_stalled(clock::time_point last_served_at, double expected_latency_ms,
                               clock::time_point now) noexcept;

} // namespace primrosehead::pooler
