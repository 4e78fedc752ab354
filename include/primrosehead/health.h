// Health of one peer (a backend server or an entry instance) as seen by one observer. Pure:
// observations and the time are passed in.
//
//   up ---- failure, silence, slowness ---> suspect --- failures, failure while silent ---> down
//   up <--- successes, checks passed ------ suspect                                          |
//   up <--- successes --------------------- probing <--- retry due, announced after silence -+
//                                           probing --- failure: interval doubles ---> down
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/directory.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace primrosehead {

struct health_settings {
    clock::duration silence_limit{400};          // time without announcements until suspect
    clock::duration initial_retry_interval{250}; // from down to the first probe
    clock::duration max_retry_interval{8'000};   // upper bound on the doubled interval
    std::uint32_t failures_until_down = 3;       // consecutive
    std::uint32_t successes_until_up = 3;        // consecutive, while suspect
    std::uint32_t probes_until_up = 2;           // consecutive, while probing
    double slow_latency_factor = 4; // slow: above this multiple of the others' median latency
    clock::duration slow_latency_margin{50}; // and above that median by this
    bool detection_enabled = true;           // tests only: false keeps every peer up
};

class health_monitor {
  public:
    health_monitor(health_settings settings, clock::time_point now);
    ~health_monitor();
    health_monitor(health_monitor&&) noexcept;
    health_monitor& operator=(health_monitor&&) noexcept;
    health_monitor(const health_monitor&) = delete;
    health_monitor& operator=(const health_monitor&) = delete;

    // Records an answer. Any answer, also one that refuses the request, shows that the peer works.
    void record_success(clock::duration latency, clock::time_point now);

    // Records a request without a complete answer. Has no effect if `kind` does not indicate a
    // failure of the peer.
    void record_failure(error_kind kind, clock::time_point now);

    // Records that the peer announced itself at `measured`, to this instance or to another one.
    void record_announcement(clock::time_point measured, clock::time_point now);

    // Checks for silence, for slowness relative to `others_latency` (median latency of the other
    // members of the group; zero if there are none) and for a due probe. Call about every 50 ms.
    void check(clock::duration others_latency, clock::time_point now);

    [[nodiscard]] server_health state() const noexcept;
    [[nodiscard]] std::string_view reason() const noexcept; // of the last state change
    [[nodiscard]] clock::duration latency() const noexcept; // exponentially smoothed
    [[nodiscard]] clock::time_point last_announcement_at() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

[[nodiscard]] std::string_view to_string(server_health health) noexcept;

} // namespace primrosehead
