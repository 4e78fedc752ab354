// Asks a server over an idle connection whether it is the primary, and records what it tells.
#pragma once

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace primrosehead {
struct line_dialect;
}

namespace primrosehead::pooler {

struct pooled_connection;
class pool;

// `connections` and `dialect` must outlive the operation.
[[nodiscard]] boost::asio::awaitable<void>
observe_primary(pool& connections, const line_dialect& dialect,
                std::unique_ptr<pooled_connection> connection);

} // namespace primrosehead::pooler
