// How far one peer (a backend server or an entry instance) is trusted with work, as one observer
// sees it. Pure: what was seen and the time go in.
//
//   up ----- failure, silence, slow ----> suspect --- failures, failure while silent ---> down
//   up <---- successes, heard again ----- suspect                                          |
//   up <---- successes ------------------ probing <--- retry time, heard after silence ----+
//                                         probing --- failure: retry time doubles --> down
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/directory.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace primrosehead {

struct health_settings {
    clock::duration silence_limit{400};          // without announcements: suspect
    clock::duration initial_retry_interval{250}; // down for so long before the first probe
    clock::duration max_retry_interval{8'000};   // the time between probes grows up to this
    std::uint32_t failures_until_down = 3;       // in a row
    std::uint32_t successes_until_up = 3;        // in a row, while suspect
    std::uint32_t probes_until_up = 2;           // in a row, while probing
    double slow_latency_factor = 4;              // times the median latency of the group's others
    clock::duration slow_latency_margin{50};     // and slower than it by this
    bool detection_enabled = true;               // off in tests: every peer stays up
};

class health_monitor {
  public:
    health_monitor(health_settings settings, clock::time_point now);
    ~health_monitor();
    health_monitor(health_monitor&&) noexcept;
    health_monitor& operator=(health_monitor&&) noexcept;
    health_monitor(const health_monitor&) = delete;
    health_monitor& operator=(const health_monitor&) = delete;

    // An answer came, whatever it said: the peer works.
    void record_success(clock::duration latency, clock::time_point now);

    // No answer, or not a whole one. Kinds that tell nothing of the peer's health change nothing.
    void record_failure(error_kind kind, clock::time_point now);

    // The peer announced itself, or another instance reported that it did at `measured`.
    void record_announcement(clock::time_point measured, clock::time_point now);

    // Checks silence, slowness against `others` (median latency of the rest of its group; zero:
    // nothing to compare with) and whether a probe is due. Call every 50 ms or so.
    void check(clock::duration others, clock::time_point now);

    [[nodiscard]] server_health state() const noexcept;
    [[nodiscard]] std::string_view reason() const noexcept; // of the last change
    [[nodiscard]] clock::duration latency() const noexcept; // smoothed
    [[nodiscard]] clock::time_point last_announcement_at() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

[[nodiscard]] std::string_view to_string(server_health health) noexcept;

} // namespace primrosehead
