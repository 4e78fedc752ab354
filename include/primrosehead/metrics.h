// Counters and latency distributions, as Prometheus text.
//
// A metric is registered once and used through its handle after that. Each thread writes to a shard
// of its own, so that the path of a request meets no contended lock.
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

// Upper bounds of a latency histogram's buckets in milliseconds; a last bucket holds the rest.
inline constexpr std::array<double, 13> latency_bounds_ms{1,   2,   5,     10,    20,    50,    100,
                                                          200, 500, 1'000, 2'000, 5'000, 10'000};

// What a latency distribution has seen. Quantiles are estimates.
struct latency_summary {
    std::array<std::uint64_t, latency_bounds_ms.size()> within{}; // each bound: cumulative
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

    // Registers a counter: `name` as Prometheus has it ("primrose_requests_total"), `labels` such
    // as `outcome="ok"` or empty. The same name and labels give the same handle. Takes a lock.
    [[nodiscard]] counter_id counter(std::string_view name, std::string_view help,
                                     std::string_view labels = {});

    // Registers a value that goes up and down.
    [[nodiscard]] counter_id gauge(std::string_view name, std::string_view help,
                                   std::string_view labels = {});

    // Registers a latency distribution in milliseconds. It shows as a histogram.
    [[nodiscard]] latency_id latency(std::string_view name, std::string_view help,
                                     std::string_view labels = {});

    // Any thread; lock-free.
    void add(counter_id counter, std::int64_t amount = 1) noexcept;
    void set(counter_id gauge, std::int64_t value) noexcept;

    // Any thread; locks the calling thread's shard for the update alone.
    void record(latency_id latency, double milliseconds);

    [[nodiscard]] std::int64_t value(counter_id counter) const noexcept;
    [[nodiscard]] latency_summary summary(latency_id latency) const;

    // All metrics in Prometheus' text format, in the order of registration.
    [[nodiscard]] std::string prometheus_text() const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
