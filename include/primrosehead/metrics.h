// Counters, gauges and latency distributions, exported as Prometheus text.
//
// A metric is registered once and then used through its handle. Latencies are recorded in sharded
// accumulators, so that threads rarely contend for a lock while they serve requests.
#pragma once

#include <primrosehead/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace primrosehead {

// A registered counter or gauge.
struct counter_id {
    std::size_t index = 0;
};

// A registered latency distribution.
struct latency_id {
    std::size_t index = 0;
};

// Upper bounds of a latency histogram's buckets in milliseconds. Larger values are counted in a
// last, unbounded bucket.
inline constexpr std::array<double, 13> latency_bounds_ms{1,   2,   5,     10,    20,    50,    100,
                                                          200, 500, 1'000, 2'000, 5'000, 10'000};

// Statistics of a latency distribution. Quantiles are estimates.
struct latency_summary {
    std::array<std::uint64_t, latency_bounds_ms.size()> cumulative_counts{}; // per bound
    std::uint64_t count = 0;
    double sum_ms = 0;
    double max_ms = 0;
    double p50_ms = 0;
    double p99_ms = 0;
};

class metrics {
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Registers a counter. `name` is the Prometheus name ("primrose_requests_total"); `labels` is
    // empty or, for example, `outcome="ok"`. Returns the same handle for the same name and labels.
    // Takes a lock.
    [[nodiscard]] counter_id counter(std::string_view name, std::string_view help,
                                     std::string_view labels = {});

    // Registers a gauge, in the same way.
    [[nodiscard]] counter_id gauge(std::string_view name, std::string_view help,
                                   std::string_view labels = {});

    // Registers a latency distribution in milliseconds. It is exported as a histogram.
    [[nodiscard]] latency_id latency(std::string_view name, std::string_view help,
                                     std::string_view labels = {});

    // Thread-safe and lock-free.
    void add(counter_id counter, std::int64_t amount = 1) noexcept;
    void set(counter_id gauge, std::int64_t value) noexcept;

    // Thread-safe; locks the calling thread's shard for the update.
    void record(latency_id latency, double milliseconds);

    [[nodiscard]] std::int64_t value(counter_id counter) const noexcept;
    [[nodiscard]] latency_summary summary(latency_id latency) const;

    // Returns all metrics in the Prometheus text format, in the order of registration.
    [[nodiscard]] std::string prometheus_text() const;

  private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace primrosehead
