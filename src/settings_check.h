// Checks of settings that a schema can't express.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <span>
#include <string_view>

namespace primrosehead {

enum class port_rule { fixed, allow_any };

// "IP:PORT" with an IPv4 number or an IPv6 number in brackets.
// Port 0 takes a free port where `port_rule::any_allowed` permits it.
[[nodiscard]] status check_address(std::string_view path, std::string_view address, port_rule rule);

// "tcp://IP:PORT".
[[nodiscard]] status check_endpoint(std::string_view path, std::string_view endpoint);

// Names and endpoints of the control instances: well formed, each there once.
[[nodiscard]] status check_control_addresses(std::span<const control_address> control);

[[nodiscard]] status check_entry_settings(const entry_settings& settings);
[[nodiscard]] status check_control_settings(const control_settings& settings);

} // namespace primrosehead
