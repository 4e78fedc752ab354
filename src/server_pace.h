// Learns how many statements a backend server handles well at once, from round-trip times and
// errors. Pure. docs/design/server-pace.md compares the algorithms.
//
// Round trips are compared, by class of work and on a logarithmic scale, with those at light load.
// When they are longer, the limit is halved for one window of samples. If round trips become
// shorter with it, load was the cause and the lower limit stays; otherwise the server is slower at
// any load, the limit is restored and the longer round trips become the reference.
#pragma once

#include "admission_work.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <map>

namespace primrosehead::admission {

class server_pace {
  public:
    struct sample {
        std::uint32_t work_class = 0; // round trips are compared within a class
        std::uint32_t running = 1;    // statements at the server when this one started, with it
        clock::time_point started_at{};
        outcome result = outcome::done;
    };

    explicit server_pace(std::uint32_t announced_slots);

    // Starts from the new number of slots if it differs from the last one.
    void set_announced_slots(std::uint32_t slots, clock::time_point now);
    // Forgets everything learned: the server was restarted or promoted.
    void restart(clock::time_point now);
    // Starts from a limit that was learned elsewhere; it returns to the slots as any other limit.
    void start_at(double concurrency, clock::time_point now);
    void record(const sample& ended, clock::time_point now);
    // A health check weighs less than a caller's statement: a server may answer checks and fail
    // statements.
    void record_health_check(bool succeeded, clock::time_point now);

    // Returns how many statements to run at once: at least 1, at most the announced slots.
    [[nodiscard]] double concurrency(clock::time_point now) const;
    // Returns the recent share of failed statements.
    [[nodiscard]] double failure_share(clock::time_point now) const;

  private:
    // Logarithm of the round trip in milliseconds at light load.
    struct reference {
        double log_ms = 0;
        double variance = 0.8; // of the logarithm; learned, as work of a class may be mixed
        double samples = 0;
    };
    struct window {
        clock::time_point began_at{};
        std::uint32_t samples = 0;
        double sum = 0; // of logarithms of the ratios to the reference
        double variance_sum = 0;
        bool reached_limit = false;

        [[nodiscard]] double mean() const { return sum / samples; }
    };

    void count_result(double weight, bool succeeded, clock::time_point now);
    void reset_limit(clock::time_point now);
    void back_off(clock::time_point now);
    void add_round_trip(const sample& ended, clock::time_point now);
    static void learn_reference(reference& known, double log_ms, bool is_light);
    void evaluate_window(clock::time_point now);
    [[nodiscard]] bool is_trial_clear(double error) const;
    void evaluate_normal(double slowdown, double threshold, clock::time_point now);
    void evaluate_trial(double slowdown, clock::time_point now);
    void begin_trial(double slowdown, clock::time_point now);
    void raise_limit(clock::time_point now);
    void shift_references(double difference);

    std::uint32_t slots_;
    double limit_;
    std::map<std::uint32_t, reference> references_;
    window window_;
    std::uint32_t slow_windows_ = 0; // consecutive

    bool is_trial_ = false; // running with a halved limit to see whether load is the cause
    bool is_check_ = false; // a trial without an observed slowdown
    double limit_before_trial_ = 0;
    double slowdown_before_trial_ = 0;

    clock::time_point limit_changed_at_{};
    clock::time_point light_at_{};   // last sample at light load
    clock::time_point checked_at_{}; // last trial
    clock::duration check_interval_;
    double known_bad_limit_ = 0; // 0: none
    clock::time_point known_bad_until_{};
    clock::duration known_bad_time_{0};

    double succeeded_ = 0; // weights of recent results, aged
    double failed_ = 0;
    clock::time_point results_aged_at_{};
    clock::time_point recorded_at_{}; // last sample
    clock::time_point backed_off_at_{};
};

} // namespace primrosehead::admission
