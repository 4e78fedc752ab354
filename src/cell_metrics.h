// Serves the metrics of a cell instance over HTTP, on an address of their own.
#pragma once

#include "event_log.h"

#include <primrosehead/error.h>
#include <primrosehead/http.h>
#include <primrosehead/metrics.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

namespace primrosehead::cell {

class metrics_server {
  public:
    // With an empty address, no listener is opened.
    [[nodiscard]] static result<std::unique_ptr<metrics_server>>
    open(boost::asio::any_io_executor executor, std::string_view address);

    void record_evacuation_order(bool is_acknowledged)
    {
        registry_.add(is_acknowledged ? evacuations_acknowledged_ : evacuations_not_acknowledged_);
    }

    void update(std::uint64_t term, std::uint64_t version, std::uint32_t followers, bool is_leader,
                const event_log& events);

    // Counts large replies that were deferred because too many were in flight.
    void add_deferred_replies(std::uint64_t count)
    {
        registry_.add(deferred_replies_, static_cast<std::int64_t>(count));
    }

  private:
    metrics_server();

    metrics registry_;
    counter_id term_;
    counter_id version_;
    counter_id followers_;
    counter_id is_leader_;
    counter_id deferred_replies_;
    counter_id log_lines_;
    counter_id log_dropped_;
    counter_id evacuations_acknowledged_;
    counter_id evacuations_not_acknowledged_;
    std::shared_ptr<http::listener> listener_;
};

} // namespace primrosehead::cell
