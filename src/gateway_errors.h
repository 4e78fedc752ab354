// Errors of the gateway. `ran` states whether the request may have run.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead {

// A reply was incomplete, malformed or for another request.
[[nodiscard]] error invalid_reply(std::string_view what, enum ran ran);

// The request's deadline passed.
[[nodiscard]] error deadline_exceeded(std::string_view what, enum ran ran);

// The request got no slot before its deadline, or no connection was free. It did not run.
[[nodiscard]] error no_capacity(std::string_view what, clock::duration retry_after);

// The server is not in this instance's directory.
[[nodiscard]] error unknown_server(std::string_view server);

// The transaction has ended, belongs to another organisation or never existed.
[[nodiscard]] error transaction_not_found();

// A statement arrived while another one of the same transaction was running.
[[nodiscard]] error transaction_busy();

// This instance is draining and begins no transaction.
[[nodiscard]] error instance_draining();

// The request can't be encoded for a backend server.
[[nodiscard]] error malformed_request(std::string_view what);

} // namespace primrosehead
