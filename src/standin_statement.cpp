#include "standin_statement.h"

#include <boost/json/object.hpp>

#include <limits>
#include <string_view>

namespace primrosehead::standin {

namespace {

constexpr std::uint32_t default_scan_limit = 1'000;

error refused_error(std::string_view reason)
{
    return error{error_kind::backend_refused, std::string(reason),
                 "Send one of the statements of docs/BACKEND.md."};
}

result<statement> parse_put(const boost::json::object& source, const std::string& key)
{
    const boost::json::value* value = source.if_contains("value");
    if (value == nullptr) {
        return refused_error("put needs a `value`.");
    }
    return statement(put_statement{key, *value});
}

result<statement> parse_add(const boost::json::object& source, const std::string& key)
{
    const boost::json::value* by = source.if_contains("by");
    if (by == nullptr || !by->is_int64()) {
        return refused_error("add needs an integer in `by`.");
    }
    return statement(add_statement{key, by->get_int64()});
}

result<statement> parse_scan(const boost::json::object& source, const std::string& prefix)
{
    const boost::json::value* limit = source.if_contains("limit");
    if (limit == nullptr) {
        return statement(scan_statement{prefix, default_scan_limit});
    }
    const std::int64_t* number = limit->if_int64();
    if (number == nullptr || *number < 1 || *number > std::numeric_limits<std::uint32_t>::max()) {
        return refused_error("scan needs a `limit` from 1 to 4294967295.");
    }
    return statement(scan_statement{prefix, static_cast<std::uint32_t>(*number)});
}

// Returns the text of a member, or a null pointer if it is missing or not a string.
const boost::json::string* text_member(const boost::json::object& source, std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    return found == nullptr ? nullptr : found->if_string();
}

} // namespace

result<statement> parse_statement(const boost::json::value& source)
{
    const boost::json::object* members = source.if_object();
    if (members == nullptr) {
        return refused_error("The statement is not a JSON object.");
    }
    if (const auto* key = text_member(*members, "get")) {
        return statement(get_statement{std::string(*key)});
    }
    if (const auto* key = text_member(*members, "put")) {
        return parse_put(*members, std::string(*key));
    }
    if (const auto* key = text_member(*members, "add")) {
        return parse_add(*members, std::string(*key));
    }
    if (const auto* prefix = text_member(*members, "scan")) {
        return parse_scan(*members, std::string(*prefix));
    }
    return refused_error("The statement has none of get, put, add and scan with a string.");
}

bool writes(const statement& parsed) noexcept
{
    return std::holds_alternative<put_statement>(parsed) ||
           std::holds_alternative<add_statement>(parsed);
}

} // namespace primrosehead::standin
