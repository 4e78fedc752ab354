#include "http_address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace primrosehead::http {

namespace net = boost::asio;

namespace {

constexpr std::string_view scheme = "http://";

error invalid_address(std::string_view text)
{
    return error{error_kind::bad_settings, "\"" + std::string(text) + "\" is not a valid address.",
                 "Use IP:PORT, for example 127.0.0.1:8080."};
}

std::string_view without_brackets(std::string_view host)
{
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

result<net::ip::tcp::endpoint> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address(text);
    }
    boost::system::error_code ec;
    const std::string host(without_brackets(text.substr(0, colon)));
    if (host.find('\0') != std::string::npos) {
        return invalid_address(text); // make_address would ignore the rest
    }
    const net::ip::address address = net::ip::make_address(host, ec);
    if (ec) {
        return invalid_address(text);
    }
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != port_text.data() + port_text.size()) {
        return invalid_address(text);
    }
    return net::ip::tcp::endpoint(address, port);
}

result<net::ip::tcp::endpoint> parse_url(std::string_view url)
{
    if (!url.starts_with(scheme)) {
        return error{error_kind::bad_settings,
                     "\"" + std::string(url) + "\" is not a valid http URL.",
                     "Use http://IP:PORT."};
    }
    std::string_view authority = url.substr(scheme.size());
    authority = authority.substr(0, authority.find('/'));
    return parse_address(authority);
}

} // namespace primrosehead::http
