#include "pooler_metrics.h"

namespace primrosehead::pooler {

instance_metrics::instance_metrics()
    : answered_{all_.counter("primrose_statements_total", "Statements answered.",
                             R"(outcome="done")"),
                all_.counter("primrose_statements_total", "Statements answered.",
                             R"(outcome="refused")"),
                all_.counter("primrose_statements_total", "Statements answered.",
                             R"(outcome="failed")"),
                all_.counter("primrose_statements_total", "Statements answered.",
                             R"(outcome="unknown")")},
      retries_(all_.counter("primrose_retries_total", "Tries after the first.")),
      rate_limited_(all_.counter("primrose_rate_limited_total",
                                 "Operations beyond an organisation's rate and burst.")),
      denied_(all_.counter("primrose_denied_total", "Statements without a valid key.")),
      latency_(all_.latency("primrose_statement_ms", "Time of a statement.")),
      sessions_(all_.gauge("primrose_sessions", "Open sessions.")),
      document_version_(all_.gauge("primrose_document_version", "Document in force.")),
      confirmed_ms_ago_(
          all_.gauge("primrose_confirmed_ms_ago", "Age of the last confirmation by the leader.")),
      connections_(all_.gauge("primrose_server_connections", "Connections to servers.")),
      waiting_(all_.gauge("primrose_waiting", "Operations that wait for a connection.")),
      opened_(all_.gauge("primrose_connections_opened_total", "Connections opened.")),
      open_failures_(
          all_.gauge("primrose_connection_failures_total", "Connections that failed to open.")),
      reused_(all_.gauge("primrose_connections_reused_total", "Operations on a kept connection.")),
      log_lines_(all_.gauge("primrose_log_lines_total", "Log lines taken in.")),
      log_dropped_(all_.gauge("primrose_log_lines_dropped_total", "Log lines dropped."))
{
}

void instance_metrics::answered(statement_outcome outcome, double milliseconds)
{
    all_.add(answered_[static_cast<std::size_t>(outcome)]);
    all_.record(latency_, milliseconds);
}

std::string instance_metrics::text(const pool_stats& pool, std::uint32_t sessions,
                                   std::uint64_t document_version, std::int64_t confirmed_ms_ago,
                                   const event_log& events)
{
    all_.set(sessions_, sessions);
    all_.set(document_version_, static_cast<std::int64_t>(document_version));
    all_.set(confirmed_ms_ago_, confirmed_ms_ago);
    all_.set(connections_, pool.open);
    all_.set(waiting_, pool.waiting);
    all_.set(opened_, static_cast<std::int64_t>(pool.opened));
    all_.set(open_failures_, static_cast<std::int64_t>(pool.open_failures));
    all_.set(reused_, static_cast<std::int64_t>(pool.reused));
    all_.set(log_lines_, static_cast<std::int64_t>(events.lines()));
    all_.set(log_dropped_, static_cast<std::int64_t>(events.dropped()));
    return all_.prometheus_text();
}

} // namespace primrosehead::pooler
