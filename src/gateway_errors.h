// Errors of the gateway, each true about whether the request ran.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead {

// A link to a backend server broke, or an answer was not whole.
[[nodiscard]] error invalid_reply(std::string_view what, enum ran ran);

// The request's deadline passed.
[[nodiscard]] error deadline_exceeded(std::string_view what, enum ran ran);

// No place before the deadline, or no connection left; it did not run.
[[nodiscard]] error no_capacity(std::string_view what, clock::duration retry_after);

// The server is not in this instance's directory.
[[nodiscard]] error unknown_server(std::string_view server);

// The transaction ended, belongs to another organisation or never was.
[[nodiscard]] error transaction_not_found();

// A statement came while another of the same transaction runs.
[[nodiscard]] error transaction_busy();

// This instance is stopping and begins nothing new.
[[nodiscard]] error instance_draining();

// A request that can't be sent to a backend server.
[[nodiscard]] error malformed_request(std::string_view what);

} // namespace primrosehead
