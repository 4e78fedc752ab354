// Reading of IP:PORT addresses and http://IP:PORT URLs.
#pragma once

#include <primrosehead/error.h>

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace primrosehead::http {

// Reads "IP:PORT" or "[IP]:PORT"; `error_kind::bad_settings` otherwise.
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

// Reads "http://IP:PORT", with or without a path behind.
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_url(std::string_view url);

} // namespace primrosehead::http
