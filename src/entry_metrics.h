// Metrics of an entry instance.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/gateway.h>
#include <primrosehead/metrics.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace primrosehead {

class entry_metrics {
  public:
    entry_metrics();

    // Record the outcome and the latency of one request.
    void record_success(double milliseconds);
    void record_failure(error_kind kind, double milliseconds);

    // Counts a read by the role of the server that served it, replica or primary.
    void count_read(bool from_replica);
    void count_retry();

    // Returns all metrics in Prometheus text format, including the current gateway statistics.
    [[nodiscard]] std::string prometheus_text(const gateway_stats& gateway,
                                              std::uint32_t connections,
                                              std::uint64_t state_version);

  private:
    static constexpr std::size_t error_kind_count =
        static_cast<std::size_t>(error_kind::internal) + 1;

    metrics registry_;
    counter_id successes_;
    std::array<counter_id, error_kind_count> failures_;
    counter_id replica_reads_;
    counter_id primary_reads_;
    counter_id retries_;
    latency_id latency_;
    counter_id connections_;
    counter_id state_version_;
    counter_id executed_locally_;
    counter_id forwarded_;
    counter_id received_;
    counter_id connections_opened_;
    counter_id connections_open_;
    counter_id queued_;
    counter_id gateway_refused_;
};

} // namespace primrosehead
