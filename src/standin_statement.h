// The stand-in's statements: get, put, add and scan (docs/BACKEND.md).
#pragma once

#include <primrosehead/error.h>

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace primrosehead::standin {

struct get_statement {
    std::string key;
};
struct put_statement {
    std::string key;
    boost::json::value value;
};
struct add_statement {
    std::string key;
    std::int64_t by = 0;
};
struct scan_statement {
    std::string prefix;
    std::uint32_t limit = 0;
};

using statement = std::variant<get_statement, put_statement, add_statement, scan_statement>;

// `error_kind::backend_refused` for anything that is not one of the four.
[[nodiscard]] result<statement> parse_statement(const boost::json::value& source);

// True when the statement changes the database.
[[nodiscard]] bool writes(const statement& parsed) noexcept;

} // namespace primrosehead::standin
