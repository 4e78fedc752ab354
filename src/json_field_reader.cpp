#include "json_field_reader.h"

#include <boost/json/value.hpp>

namespace primrosehead {

namespace json = boost::json;

std::optional<std::string_view> json_field_reader::text(std::string_view name) const
{
    const json::value* const found = body_.if_contains(name);
    if (found == nullptr || !found->is_string()) {
        return std::nullopt;
    }
    return std::string_view(found->get_string());
}

std::optional<std::uint64_t> json_field_reader::number(std::string_view name) const
{
    const json::value* const found = body_.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    json::error_code ec;
    const auto read = found->to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional(read);
}

const json::value* json_field_reader::any(std::string_view name) const
{
    return body_.if_contains(name);
}

} // namespace primrosehead
