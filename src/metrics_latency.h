// One latency distribution over Boost.Accumulators, in shards.
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

    // Counts and sums over all shards; quantiles are the shards' estimates, weighted by their
    // counts.
    [[nodiscard]] latency_summary summary() const;

  private:
    struct shard;
    std::unique_ptr<shard[]> shards_;
};

} // namespace primrosehead
