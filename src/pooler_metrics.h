// Metrics of a pooler instance. Label values come from fixed lists, never from callers.
#pragma once

#include "document.h"
#include "event_log.h"
#include "line_answer.h"
#include "pooler_home_outcome.h"
#include "pooler_pool.h"

#include <primrosehead/clock.h>
#include <primrosehead/metrics.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

// How a caller's statement ended.
enum class statement_outcome { done, refused, failed, unknown };
[[nodiscard]] std::string_view to_string(statement_outcome outcome) noexcept;

// Phases of a statement whose duration is measured.
enum class statement_phase {
    admission,  // waiting for the organisation's token
    connection, // waiting for a connection or a slot of the server
    server,     // the exchange with the server, including replication
};

class instance_metrics {
  public:
    instance_metrics();

    // Records an answered statement. `route` is null while it is unknown; `cause` counts for
    // errors.
    void record_statement(statement_outcome outcome, answer_cause cause,
                          const document_route* route, double milliseconds);
    void record_phase(statement_phase phase, clock::duration time);
    void record_retry() { registry_.add(retries_); }
    void record_borrowing(bool was_granted)
    {
        registry_.add(was_granted ? granted_ : not_granted_);
    }

    // Operations passed to homes, and operations that this instance ran as a home.
    void record_home_call(home_ending ending)
    {
        registry_.add(home_calls_.at(static_cast<std::size_t>(ending)));
    }
    void record_home_late_reply() { registry_.add(home_late_replies_); }
    void record_home_work(bool is_answered)
    {
        registry_.add(is_answered ? home_answered_ : home_not_answered_);
    }
    void record_home_refusal(bool is_invalid)
    {
        registry_.add(is_invalid ? home_invalid_ : home_declined_);
    }
    void record_home_duplicate() { registry_.add(home_duplicates_); }

    [[nodiscard]] std::string prometheus_text(const pool_stats& pool, std::uint32_t sessions,
                                              std::uint64_t document_version,
                                              std::int64_t confirmed_ms_ago,
                                              const event_log& events);

  private:
    static constexpr std::size_t outcome_count = 4;
    // Three kinds of consistency, and one label for no route.
    static constexpr std::size_t route_label_count = 4;
    static constexpr std::size_t phase_count = 3;

    metrics registry_;
    std::array<std::array<counter_id, route_label_count>, outcome_count> statements_;
    std::array<counter_id, answer_cause_count> causes_;
    std::array<latency_id, outcome_count> latency_;
    std::array<latency_id, phase_count> phases_;
    std::array<counter_id, home_ending_count> home_calls_;
    counter_id home_late_replies_;
    counter_id home_answered_;
    counter_id home_not_answered_;
    counter_id home_invalid_;
    counter_id home_declined_;
    counter_id home_duplicates_;
    counter_id retries_;
    counter_id granted_;
    counter_id not_granted_;
    counter_id sessions_;
    counter_id document_version_;
    counter_id confirmed_ms_ago_;
    counter_id connections_;
    counter_id waiting_;
    counter_id evacuated_domains_;
    counter_id opened_;
    counter_id open_failures_;
    counter_id reused_;
    counter_id log_lines_;
    counter_id log_dropped_;
};

} // namespace primrosehead::pooler
