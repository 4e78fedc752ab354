#include "pooler_metrics.h"

#include "pooler_cause.h"

#include <fmt/format.h>

namespace primrosehead::pooler {

namespace {

constexpr std::array<statement_outcome, 4> all_outcomes{
    statement_outcome::done, statement_outcome::refused, statement_outcome::failed,
    statement_outcome::unknown};
// In the order of route_consistency. The last label stands for no known route.
constexpr std::array<std::string_view, 4> route_labels{"latest", "bounded_staleness",
                                                       "read_your_writes", "none"};
constexpr std::array<std::string_view, 3> phase_labels{"admission", "connection", "server"};

} // namespace

std::string_view to_string(statement_outcome outcome) noexcept
{
    switch (outcome) {
    case statement_outcome::done:
        return "done";
    case statement_outcome::refused:
        return "refused";
    case statement_outcome::failed:
        return "failed";
    case statement_outcome::unknown:
        break;
    }
    return "unknown";
}

instance_metrics::instance_metrics()
    : home_late_replies_(
          registry_.counter("primrose_home_late_replies_total",
                            "Replies of homes to calls that had ended or were never made.")),
      home_answered_(registry_.counter("primrose_home_operations_total",
                                       "Operations run as a server's home, by result.",
                                       R"(result="answered")")),
      home_not_answered_(registry_.counter("primrose_home_operations_total",
                                           "Operations run as a server's home, by result.",
                                           R"(result="not_answered")")),
      home_invalid_(registry_.counter("primrose_home_refusals_total",
                                      "Requests of origins refused on arrival, by reason.",
                                      R"(reason="invalid")")),
      home_declined_(registry_.counter("primrose_home_refusals_total",
                                       "Requests of origins refused on arrival, by reason.",
                                       R"(reason="declined")")),
      home_duplicates_(registry_.counter("primrose_home_refusals_total",
                                         "Requests of origins refused on arrival, by reason.",
                                         R"(reason="duplicate")")),
      retries_(registry_.counter("primrose_retries_total", "Retries of statements.")),
      granted_(
          registry_.counter("primrose_borrowed_tokens_total",
                            "Operations that requested a token from the control leader, by result.",
                            R"(result="granted")")),
      not_granted_(
          registry_.counter("primrose_borrowed_tokens_total",
                            "Operations that requested a token from the control leader, by result.",
                            R"(result="none")")),
      sessions_(registry_.gauge("primrose_sessions", "Open sessions.")),
      document_version_(
          registry_.gauge("primrose_document_version", "Version of the document in force.")),
      confirmed_ms_ago_(registry_.gauge("primrose_confirmed_ms_ago",
                                        "Age of the last confirmation by the leader.")),
      connections_(registry_.gauge("primrose_server_connections", "Open connections to servers.")),
      waiting_(registry_.gauge("primrose_waiting", "Operations waiting for a connection.")),
      evacuated_domains_(registry_.gauge("primrose_evacuated_domains",
                                         "Failure domains whose servers are not used.")),
      opened_(registry_.gauge("primrose_connections_opened_total", "Connections opened.")),
      open_failures_(registry_.gauge("primrose_connection_failures_total",
                                     "Connections that failed to open.")),
      reused_(registry_.gauge("primrose_connections_reused_total",
                              "Operations that reused an open connection.")),
      log_lines_(registry_.gauge("primrose_log_lines_total", "Log lines accepted.")),
      log_dropped_(registry_.gauge("primrose_log_lines_dropped_total", "Log lines dropped."))
{
    for (const statement_outcome outcome : all_outcomes) {
        const auto index = static_cast<std::size_t>(outcome);
        for (std::size_t route = 0; route < route_label_count; ++route) {
            statements_.at(index).at(route) = registry_.counter(
                "primrose_statements_total", "Statements answered, by outcome and route.",
                fmt::format(R"(outcome="{}",route="{}")", to_string(outcome),
                            route_labels.at(route)));
        }
    }
    for (std::size_t cause = 0; cause < answer_cause_count; ++cause) {
        causes_.at(cause) = registry_.counter(
            "primrose_errors_total", "Statements answered with an error, by cause.",
            fmt::format(R"(cause="{}")", to_string(static_cast<answer_cause>(cause))));
    }
    for (const statement_outcome outcome : all_outcomes) {
        latency_.at(static_cast<std::size_t>(outcome)) =
            registry_.latency("primrose_statement_ms", "Duration of a statement in milliseconds.",
                              fmt::format(R"(outcome="{}")", to_string(outcome)));
    }
    for (std::size_t ending = 0; ending < home_ending_count; ++ending) {
        home_calls_.at(ending) = registry_.counter(
            "primrose_home_calls_total", "Operations passed to homes, by how the call ended.",
            fmt::format(R"(ending="{}")", to_string(static_cast<home_ending>(ending))));
    }
    for (std::size_t phase = 0; phase < phase_count; ++phase) {
        phases_.at(phase) = registry_.latency("primrose_phase_ms",
                                              "Duration of a statement's phases in milliseconds.",
                                              fmt::format(R"(phase="{}")", phase_labels.at(phase)));
    }
}

void instance_metrics::record_statement(statement_outcome outcome, answer_cause cause,
                                        const document_route* route, double milliseconds)
{
    const auto index = static_cast<std::size_t>(outcome);
    const std::size_t route_label =
        route == nullptr ? route_label_count - 1 : static_cast<std::size_t>(route->consistency);
    registry_.add(statements_.at(index).at(route_label));
    registry_.record(latency_.at(index), milliseconds);
    if (outcome != statement_outcome::done) {
        registry_.add(causes_.at(static_cast<std::size_t>(cause)));
    }
}

void instance_metrics::record_phase(statement_phase phase, clock::duration time)
{
    registry_.record(phases_.at(static_cast<std::size_t>(phase)),
                     static_cast<double>(time.count()));
}

std::string instance_metrics::prometheus_text(const pool_stats& pool, std::uint32_t sessions,
                                              std::uint64_t document_version,
                                              std::int64_t confirmed_ms_ago,
                                              const event_log& events)
{
    registry_.set(sessions_, sessions);
    registry_.set(document_version_, static_cast<std::int64_t>(document_version));
    registry_.set(confirmed_ms_ago_, confirmed_ms_ago);
    registry_.set(connections_, pool.open);
    registry_.set(waiting_, pool.waiting);
    registry_.set(evacuated_domains_, pool.evacuated_domains);
    registry_.set(opened_, static_cast<std::int64_t>(pool.opened));
    registry_.set(open_failures_, static_cast<std::int64_t>(pool.open_failures));
    registry_.set(reused_, static_cast<std::int64_t>(pool.reused));
    registry_.set(log_lines_, static_cast<std::int64_t>(events.lines()));
    registry_.set(log_dropped_, static_cast<std::int64_t>(events.dropped()));
    return registry_.prometheus_text();
}

} // namespace primrosehead::pooler
