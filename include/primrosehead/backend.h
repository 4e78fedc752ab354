// Interface of a connection to a backend server. docs/BACKEND.md specifies the protocol.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace primrosehead {

// A connection to a backend server. It runs one request at a time, and a transaction stays on the
// connection that began it. After an error with `ran::unknown` the connection is not reused.
template <class Connection>
concept backend_connection = requires(Connection connection, const pb::backend_request& request,
                                      clock::time_point deadline)
{
    {
        connection.call(request, deadline)
        } -> std::same_as<boost::asio::awaitable<result<pb::backend_reply>>>;
    {
        connection.is_usable()
        } -> std::same_as<bool>;
};

} // namespace primrosehead
