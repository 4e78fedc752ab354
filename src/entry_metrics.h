// The metrics of an entry instance, registered once.
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

    // One answered request: its outcome and how long it took.
    void answered(double milliseconds);
    void refused(error_kind kind, double milliseconds);

    // A read that a replica served, or the primary.
    void served_by(bool replica);
    void retried();

    // The text for /metrics, with the gateway's present numbers.
    [[nodiscard]] std::string text(const gateway_stats& gateway, std::uint32_t connections,
                                   std::uint64_t state_version);

  private:
    static constexpr std::size_t kinds = static_cast<std::size_t>(error_kind::internal) + 1;

    metrics all_;
    counter_id answered_;
    std::array<counter_id, kinds> refused_;
    counter_id replica_reads_;
    counter_id primary_reads_;
    counter_id retries_;
    latency_id latency_;
    counter_id connections_;
    counter_id state_version_;
    counter_id run_here_;
    counter_id forwarded_;
    counter_id received_;
    counter_id opened_;
    counter_id open_;
    counter_id queued_;
    counter_id gateway_refused_;
};

} // namespace primrosehead
