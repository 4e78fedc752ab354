// Refusals of the routing decisions, each with when to come back.
#pragma once

#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead::routing {

// No server of the database is known.
[[nodiscard]] error no_server_announced();

// Servers are known, but none can serve the read.
[[nodiscard]] error no_eligible_server();

// The database has no primary that takes work; `message` says why.
[[nodiscard]] error no_primary(std::string_view message);

} // namespace primrosehead::routing
