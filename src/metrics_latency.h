// A latency distribution in sharded Boost.Accumulators.
#pragma once

#include <primrosehead/metrics.h>

#include <memory>

namespace primrosehead {

class metrics_latency {
  public:
    metrics_latency();
    ~metrics_latency();
    metrics_latency(const metrics_latency&) = delete;
    metrics_latency& operator=(const metrics_latency&) = delete;

    void record(double milliseconds);

    // Merges the shards: counts and sums are added, quantiles are averages of the shards'
    // estimates, weighted by their counts.
    [[nodiscard]] latency_summary summary() const;

  private:
    struct shard;
    std::unique_ptr<shard[]> shards_;
};

} // namespace primrosehead
