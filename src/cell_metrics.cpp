#include "cell_metrics.h"

#include <boost/asio/awaitable.hpp>

#include <utility>

namespace primrosehead::cell {

metrics_server::metrics_server()
    : term_(registry_.gauge("primrose_control_term", "Consensus term.")),
      version_(registry_.gauge("primrose_state_version", "Version of the replicated state.")),
      followers_(
          registry_.gauge("primrose_followers", "Pooler instances in contact with this leader.")),
      is_leader_(registry_.gauge("primrose_leads", "1 if this instance is the leader.")),
      deferred_replies_(registry_.counter("primrose_replies_deferred_total",
                                          "Large replies deferred to bound those in flight.")),
      log_lines_(registry_.gauge("primrose_log_lines_total", "Log lines accepted.")),
      log_dropped_(registry_.gauge("primrose_log_lines_dropped_total", "Log lines dropped.")),
      evacuations_acknowledged_(registry_.counter("primrose_evacuation_orders_total",
                                                  "Orders to evacuate or release a failure domain.",
                                                  R"(result="acknowledged")")),
      evacuations_not_acknowledged_(registry_.counter(
          "primrose_evacuation_orders_total", "Orders to evacuate or release a failure domain.",
          R"(result="not_acknowledged")"))
{
}

result<std::unique_ptr<metrics_server>> metrics_server::open(boost::asio::any_io_executor executor,
                                                             std::string_view address)
{
    std::unique_ptr<metrics_server> server(new metrics_server());
    if (address.empty()) {
        return server;
    }
    http::listener_settings options;
    options.address = address;
    result<std::shared_ptr<http::listener>> opened =
        http::listener::open(std::move(executor), options,
                             [registry = &server->registry_](
                                 const http::request&) -> boost::asio::awaitable<http::response> {
                                 http::response response;
                                 response.content_type = "text/plain";
                                 response.body = registry->prometheus_text();
                                 co_return response;
                             });
    if (!ok(opened)) {
        return failure(opened);
    }
    server->listener_ = value(opened);
    return server;
}

void metrics_server::update(std::uint64_t term, std::uint64_t version, std::uint32_t followers,
                            bool is_leader, const event_log& events)
{
    registry_.set(term_, static_cast<std::int64_t>(term));
    registry_.set(version_, static_cast<std::int64_t>(version));
    registry_.set(followers_, followers);
    registry_.set(is_leader_, is_leader ? 1 : 0);
    registry_.set(log_lines_, static_cast<std::int64_t>(events.lines()));
    registry_.set(log_dropped_, static_cast<std::int64_t>(events.dropped()));
}

} // namespace primrosehead::cell
