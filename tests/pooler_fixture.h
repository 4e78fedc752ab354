// One pooler instance in a test: its pool, follower and log around one fake server, without
// processes and control.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "event_log.h"
#include "line_server.h"
#include "pooler_context.h"
#include "pooler_execution.h"
#include "pooler_follower.h"
#include "pooler_metrics.h"
#include "pooler_pool.h"

#include <primrosehead/clock.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace primrosehead::testing {

class pooler_fixture {
  public:
    // A key that is withdrawn must not work for longer than `revocation`.
    explicit pooler_fixture(clock::duration revocation = clock::duration(5'000));

    // Control says that this document of one database "db" is in force, confirmed now. The key
    // "secret" is organisation "org", which has `rate` and the whole share.
    void confirm(double rate);

    // Runs what is due for so long.
    void run(clock::duration time);

    // Sends lines as a caller, the `later` ones after `time`; returns all that came back until
    // `time` after them.
    std::string exchange(std::string_view lines, clock::duration time, std::string_view later = {});

    [[nodiscard]] pooler::operation operation() const;

    boost::asio::io_context io{1};
    line_dialect dialect;
    event_log events{-1, "entry-1"};
    line_server server{io.get_executor()};
    pooler::pool connections{io.get_executor(), dialect, events, "zone"};
    pooler::instance_metrics statement_metrics;
    pooler::follower control;
    pooler::context shared;

  private:
    std::shared_ptr<const document> document_;
    std::uint64_t sequence_ = 0;
};

} // namespace primrosehead::testing
