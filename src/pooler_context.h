// State shared by the sessions of one pooler instance.
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

class commits;
class follower;
class home_client;
class instance_metrics;
class pool;

struct context {
    boost::asio::any_io_executor executor;
    const line_dialect& dialect;
    pool& connections;
    follower& control;
    commits& confirmations;
    event_log& events;
    instance_metrics& metrics;
    home_client* homes = nullptr;     // null: operations run on own connections only
    bool is_closing_sessions = false; // on shutdown: each session ends after its current operation
};

} // namespace primrosehead::pooler
