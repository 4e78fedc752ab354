#include "cell_metrics.h"

#include <boost/asio/awaitable.hpp>

#include <utility>

namespace primrosehead::cell {

metrics_server::metrics_server()
    : term_(all_.gauge("primrose_control_term", "Term of consensus.")),
      version_(all_.gauge("primrose_state_version", "Version of the replicated state.")),
      followers_(all_.gauge("primrose_followers", "Pooler instances that this leader hears.")),
      leads_(all_.gauge("primrose_leads", "1 when this instance leads.")),
      log_lines_(all_.gauge("primrose_log_lines_total", "Log lines taken in.")),
      log_dropped_(all_.gauge("primrose_log_lines_dropped_total", "Log lines dropped."))
{
}

result<std::unique_ptr<metrics_server>> metrics_server::open(boost::asio::any_io_executor executor,
                                                             std::string_view address)
{
    std::unique_ptr<metrics_server> made(new metrics_server());
    if (address.empty()) {
        return made;
    }
    http::listener_settings listening;
    listening.address = address;
    result<std::shared_ptr<http::listener>> listens = http::listener::open(
        std::move(executor), listening,
        [all = &made->all_](const http::request&) -> boost::asio::awaitable<http::response> {
            http::response answer;
            answer.content_type = "text/plain";
            answer.body = all->prometheus_text();
            co_return answer;
        });
    if (!ok(listens)) {
        return failure(listens);
    }
    made->listener_ = value(listens);
    return made;
}

void metrics_server::set(std::uint64_t term, std::uint64_t version, std::uint32_t followers,
                         bool leads, const event_log& events)
{
    all_.set(term_, static_cast<std::int64_t>(term));
    all_.set(version_, static_cast<std::int64_t>(version));
    all_.set(followers_, followers);
    all_.set(leads_, leads ? 1 : 0);
    all_.set(log_lines_, static_cast<std::int64_t>(events.lines()));
    all_.set(log_dropped_, static_cast<std::int64_t>(events.dropped()));
}

} // namespace primrosehead::cell
