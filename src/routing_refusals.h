// Errors of the routing decisions, each with a retry time.
#pragma once

#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead::routing {

// No server of the database is known to this instance.
[[nodiscard]] error no_server_announced();

// Servers are known, but none of them can serve the read.
[[nodiscard]] error no_eligible_server();

// The database has no primary that accepts writes; `message` gives the reason.
[[nodiscard]] error no_primary(std::string_view message);

} // namespace primrosehead::routing
