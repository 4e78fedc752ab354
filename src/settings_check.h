// Checks of settings that a JSON schema can't express.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <span>
#include <string_view>

namespace primrosehead {

enum class port_rule { fixed, allow_any };

// Checks for "IP:PORT" with an IPv4 address or an IPv6 address in brackets. Port 0, which binds to
// any free port, needs `port_rule::allow_any`.
[[nodiscard]] status check_address(std::string_view path, std::string_view address, port_rule rule);

// Checks for "tcp://IP:PORT"; port 0 is refused.
[[nodiscard]] status check_endpoint(std::string_view path, std::string_view endpoint);

// Checks that the names and endpoints of the control instances are well formed and unique.
[[nodiscard]] status check_control_addresses(std::span<const control_address> control);

[[nodiscard]] status check_entry_settings(const entry_settings& settings);
[[nodiscard]] status check_control_settings(const control_settings& settings);

} // namespace primrosehead
