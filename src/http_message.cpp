#include <primrosehead/http.h>

#include <boost/beast/core/string.hpp>

namespace primrosehead::http {

namespace {

std::string_view find(const std::vector<header>& headers, std::string_view name) noexcept
{
    for (const header& candidate : headers) {
        if (boost::beast::iequals(candidate.name, name)) {
            return candidate.value;
        }
    }
    return {};
}

} // namespace

std::string_view request::header_value(std::string_view name) const noexcept
{
    return find(headers, name);
}

std::string_view response::header_value(std::string_view name) const noexcept
{
    return find(headers, name);
}

} // namespace primrosehead::http
