// Posts the stand-in's announcements to one URL.
#pragma once

#include "standin_node.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace primrosehead::standin {

// Every 100 ms and at once after a change of role, until the node stops. `own_url` is the server's.
[[nodiscard]] boost::asio::awaitable<void> announce(std::shared_ptr<node> self, std::string own_url,
                                                    std::string target_url);

} // namespace primrosehead::standin
