// A pooler instance for tests: its pool, follower and log with one fake server, in one process and
// without a cell.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "event_log.h"
#include "line_server.h"
#include "pooler_commits.h"
#include "pooler_context.h"
#include "pooler_execution.h"
#include "pooler_follower.h"
#include "pooler_metrics.h"
#include "pooler_pool.h"

#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

class pooler_fixture {
  public:
    // A key that is withdrawn must not work for longer than `revocation`.
    explicit pooler_fixture(clock::duration revocation = clock::duration(5'000));

    // Puts a document with the database "db" in force and confirms it. The key "secret" belongs to
    // the organisation "org", which has `rate` as rate and burst and the whole share.
    void confirm(double rate);

    // Does the same without the share.
    void confirm_without_share(double rate);
    void grant_share(std::uint32_t millionths);

    // Puts document 2 in force, in which the key "secret" belongs to the organisation; empty: to
    // none. "org" has another key.
    void move_key(std::string_view organisation);

    // Runs the event loop for `time`.
    void run(clock::duration time);

    // Sends `lines` as a caller, and `later` after `time`. Returns the answers received until
    // `time` after the last lines.
    std::string exchange(std::string_view lines, clock::duration time, std::string_view later = {});

    // Starts to run a statement. Its answer is set once it is there.
    void start(std::function<boost::asio::awaitable<line_answer>()> statement,
               std::optional<line_answer>& answer);

    // Receives the evacuated failure domains as of a version of the replicated state.
    void evacuate(const std::vector<std::string>& domains, std::uint64_t version);

    // Announces that "server-1", the primary, has been leaving for `time`.
    void announce_leaving(clock::duration time);

    // Announces a further server of the group, which control reports as the primary.
    void add_primary(std::string_view name, std::string_view failure_domain,
                     std::string_view address);

    [[nodiscard]] pooler::operation operation() const;

    // What `exchange` does before it sends `later`.
    std::function<void()> before_later;
    bool leaves_evacuated_server = false; // as the instance's housekeeping does

    boost::asio::io_context io{1};
    line_dialect dialect;
    event_log events{-1, "entry-1"};
    line_server server{io.get_executor()};
    pooler::pool connections{io.get_executor(), dialect, events, "zone"};
    pooler::instance_metrics statement_metrics;
    pooler::commits confirmations{io.get_executor(), dialect, connections, events};
    pooler::follower control;
    pooler::context shared;

  private:
    std::shared_ptr<const document> document_;
    std::uint64_t sequence_ = 0;
    std::uint64_t directory_revision_ = 1;
};

} // namespace primrosehead::testing
