// Parsers for IP:PORT addresses and http://IP:PORT URLs.
#pragma once

#include <primrosehead/error.h>

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace primrosehead::http {

// Parses "IP:PORT" or "[IP]:PORT". Returns `error_kind::bad_settings` if the text is invalid.
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

// Parses "http://IP:PORT" with an optional path, which is ignored.
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_url(std::string_view url);

} // namespace primrosehead::http
