#include "entry_metrics.h"

namespace primrosehead {

namespace {

std::string kind_label(std::size_t kind)
{
    return "kind=\"" + std::string(to_string(static_cast<error_kind>(kind))) + "\"";
}

} // namespace

entry_metrics::entry_metrics()
    : successes_(registry_.counter("primrose_answered_total", "Requests answered with 200")),
      replica_reads_(registry_.counter("primrose_reads_total",
                                       "Reads by role of the serving server", "role=\"replica\"")),
      primary_reads_(registry_.counter("primrose_reads_total",
                                       "Reads by role of the serving server", "role=\"primary\"")),
      retries_(registry_.counter("primrose_retries_total", "Attempts after the first")),
      latency_(registry_.latency("primrose_request_ms", "Request latency in milliseconds")),
      connections_(registry_.gauge("primrose_caller_connections", "Open connections from callers")),
      state_version_(
          registry_.gauge("primrose_state_version", "State version applied by this instance")),
      executed_locally_(registry_.gauge("primrose_gateway_run_here",
                                        "Requests run on connections of this instance")),
      forwarded_(registry_.gauge("primrose_gateway_forwarded",
                                 "Requests forwarded to the owning instance")),
      received_(
          registry_.gauge("primrose_gateway_received", "Requests received as the owning instance")),
      connections_opened_(
          registry_.gauge("primrose_gateway_connections_opened", "Connections opened to servers")),
      connections_open_(
          registry_.gauge("primrose_gateway_connections", "Open connections to servers")),
      queued_(registry_.gauge("primrose_gateway_queued", "Requests waiting for a slot")),
      gateway_refused_(
          registry_.gauge("primrose_gateway_refused", "Requests refused by a gateway queue"))
{
    for (std::size_t kind = 0; kind < error_kind_count; ++kind) {
        failures_.at(kind) = registry_.counter("primrose_refused_total",
                                               "Requests refused or failed", kind_label(kind));
    }
}

void entry_metrics::record_success(double milliseconds)
{
    registry_.add(successes_);
    registry_.record(latency_, milliseconds);
}

void entry_metrics::record_failure(error_kind kind, double milliseconds)
{
    registry_.add(failures_.at(static_cast<std::size_t>(kind)));
    registry_.record(latency_, milliseconds);
}

void entry_metrics::count_read(bool from_replica)
{
    registry_.add(from_replica ? replica_reads_ : primary_reads_);
}

void entry_metrics::count_retry()
{
    registry_.add(retries_);
}

std::string entry_metrics::prometheus_text(const gateway_stats& gateway, std::uint32_t connections,
                                           std::uint64_t state_version)
{
    const auto set_gauge = [this](counter_id gauge, std::uint64_t number) {
        registry_.set(gauge, static_cast<std::int64_t>(number));
    };
    set_gauge(connections_, connections);
    set_gauge(state_version_, state_version);
    set_gauge(executed_locally_, gateway.executed_locally);
    set_gauge(forwarded_, gateway.forwarded);
    set_gauge(received_, gateway.received);
    set_gauge(connections_opened_, gateway.connections_opened);
    set_gauge(connections_open_, gateway.connections_open);
    set_gauge(queued_, gateway.queued);
    set_gauge(gateway_refused_, gateway.refused);
    return registry_.prometheus_text();
}

} // namespace primrosehead
