// Periodic announcements of the stand-in to one URL.
#pragma once

#include "standin_node.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace primrosehead::standin {

// Posts an announcement every 100 ms, and immediately after a change of role, until the node stops.
// `own_url` is the URL under which this server is reached.
[[nodiscard]] boost::asio::awaitable<void> announce(std::shared_ptr<node> self, std::string own_url,
                                                    std::string target_url);

} // namespace primrosehead::standin
