// What the sessions of one pooler instance share.
#pragma once

#include "document.h"
#include "line_dialect.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string_view>

namespace primrosehead {
class event_log;
}

namespace primrosehead::pooler {

class follower;
class instance_metrics;
class pool;

struct context {
    boost::asio::any_io_executor executor;
    const line_dialect& dialect;
    pool& connections;
    follower& control;
    event_log& events;
    instance_metrics& metrics;
    bool is_closing_sessions =
        false; // the instance is stopping: sessions end after their operation
};

} // namespace primrosehead::pooler
