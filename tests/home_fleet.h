// Pooler instances for tests that pass operations to each other over the bus, with one fake server,
// in one process and without a cell.
#pragma once

#include "document.h"
#include "event_log.h"
#include "line_server.h"
#include "pooler_commits.h"
#include "pooler_context.h"
#include "pooler_execution.h"
#include "pooler_follower.h"
#include "pooler_home_client.h"
#include "pooler_home_server.h"
#include "pooler_metrics.h"
#include "pooler_pool.h"

#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {
class bus_runner;
}

namespace primrosehead::testing {

// One instance: "entry-1" and so on.
class home_node {
  public:
    home_node(boost::asio::io_context& io, std::string name, std::string endpoint);
    ~home_node();
    home_node(const home_node&) = delete;
    home_node& operator=(const home_node&) = delete;

    // Replaces the home's side, as a restart of the process does.
    void restart_home();

    std::string name;
    std::string endpoint;
    line_dialect dialect;
    event_log events;
    pooler::pool connections;
    pooler::commits confirmations;
    pooler::instance_metrics counters;
    std::shared_ptr<const document> published;
    pooler::follower control;
    pooler::context shared;
    std::unique_ptr<pooler::home_server> home;
    std::shared_ptr<pooler::home_client> homes;

    // Faults.
    bool is_frozen = false;      // neither receives nor sends
    bool drops_outgoing = false; // receives only
    bool sends_copies = false;   // sends each call twice

  private:
    void receive(const bus_origin& origin, const pb::envelope& message);
    boost::asio::awaitable<void> tick_loop();

    std::unique_ptr<bus_runner> messages_;
    std::shared_ptr<bool> is_running_ = std::make_shared<bool>(true);
};

class home_fleet {
  public:
    // Instances 1 to 3. A server takes `connection_limit` connections.
    explicit home_fleet(std::uint32_t connection_limit = 40);

    // Tells an instance the live pooler instances, by number.
    void set_peers(home_node& node, const std::vector<std::size_t>& peers);

    // The instance that `entry-1` regards as the server's best home.
    [[nodiscard]] home_node& best_home();
    [[nodiscard]] home_node& node(std::size_t number) { return *nodes_.at(number - 1); }

    void run(clock::duration time);

    // Runs the event loop until the answer is there, or for 3 s.
    [[nodiscard]] std::optional<line_answer>
    wait_for(std::function<boost::asio::awaitable<line_answer>()> work);

    // An operation of the route "db" (reads at the primary) or "stale" (reads at replicas).
    [[nodiscard]] pooler::operation operation(std::string_view database = "db") const;

    boost::asio::io_context io{1};
    line_server server{io.get_executor()};

  private:
    std::shared_ptr<const document> document_;
    std::vector<std::unique_ptr<home_node>> nodes_;
    std::uint64_t sequence_ = 0;
};

} // namespace primrosehead::testing
