// The metrics of a pooler instance, registered once.
#pragma once

#include "event_log.h"
#include "pooler_pool.h"

#include <primrosehead/metrics.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

// How a caller's statement ended.
enum class statement_outcome { done, refused, failed, unknown };

class instance_metrics {
  public:
    instance_metrics();

    void answered(statement_outcome outcome, double milliseconds);
    void retried() { all_.add(retries_); }
    void rate_limited() { all_.add(rate_limited_); }
    void denied() { all_.add(denied_); }

    [[nodiscard]] std::string text(const pool_stats& pool, std::uint32_t sessions,
                                   std::uint64_t document_version, std::int64_t confirmed_ms_ago,
                                   const event_log& events);

  private:
    static constexpr std::size_t outcomes = 4;

    metrics all_;
    std::array<counter_id, outcomes> answered_;
    counter_id retries_;
    counter_id rate_limited_;
    counter_id denied_;
    latency_id latency_;
    counter_id sessions_;
    counter_id document_version_;
    counter_id confirmed_ms_ago_;
    counter_id connections_;
    counter_id waiting_;
    counter_id opened_;
    counter_id open_failures_;
    counter_id reused_;
    counter_id log_lines_;
    counter_id log_dropped_;
};

} // namespace primrosehead::pooler
