// Replica side of the stand-in's replication.
#pragma once

#include "standin_node.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace primrosehead::standin {

// Pulls the log of the node's current replication source until the source changes or the node
// stops.
[[nodiscard]] boost::asio::awaitable<void> replicate(std::shared_ptr<node> self);

// Makes received entries visible once the configured lag has passed, until the node stops.
[[nodiscard]] boost::asio::awaitable<void> apply_with_lag(std::shared_ptr<node> self);

} // namespace primrosehead::standin
