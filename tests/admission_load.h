// Plays a load against simulated backend servers, in simulated time with fixed seeds.
#pragma once

#include "admission_queue.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace primrosehead::admission {

// Callers' operations of one route.
struct load_route {
    double per_second = 0;
    double work_ms = 0; // mean of a log-normal distribution with a spread of 0.7
    std::uint32_t priority = 0;
    std::int64_t objective_ms = 0;
    std::int64_t deadline_ms = 0;
};

// A server that runs `slots` statements at once and queues the others first in, first out.
struct simulated_server {
    std::uint32_t slots = 5;
    double failing_share = 0; // statements that fail after a quarter of their time
    // Returns the work done per millisecond for each of `running` statements.
    std::function<double(std::int64_t at_ms, std::size_t running)> speed =
        [](std::int64_t, std::size_t) { return 1.0; };
};

enum class dispatch {
    fifo,       // sent at once to a server chosen at random, with a queue of 40
    fixed,      // admission queue with the announced slots; servers chosen at random
    fixed_cost, // the same; servers chosen by `cost_estimate`
    learned     // admission queue with the learned concurrency; servers chosen by `cost_estimate`
};

struct load {
    std::vector<load_route> routes;
    std::uint32_t organisations = 81;
    std::uint32_t busy_factor = 1; // rate of organisation 0, as a multiple of another's
    std::int64_t duration_ms = 20'000;
    std::uint32_t max_attempts = 3;
    unsigned seed = 1;
    service_order order = service_order::by_deadline;
};

struct load_counts {
    std::uint32_t operations = 0;
    std::uint32_t in_objective = 0;
    std::uint32_t late = 0;       // after the objective, before the deadline
    std::uint32_t refused = 0;    // the last attempt was refused or failed
    std::uint32_t missed = 0;     // no answer before the deadline
    std::vector<double> times_ms; // of answers

    [[nodiscard]] double share(std::uint32_t count) const;
    [[nodiscard]] double percentile(double share) const;
};

struct load_result {
    std::map<std::uint32_t, load_counts> by_priority;
    std::map<std::uint32_t, load_counts> by_organisation;
    load_counts all;
    std::uint32_t started_expired = 0;
    std::uint32_t busy_answers = 0;
    double min_concurrency = 1e9;
    double last_concurrency = 0; // of the first server
};

[[nodiscard]] load_result play(const load& played, const std::vector<simulated_server>& servers,
                               dispatch method);

} // namespace primrosehead::admission
