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

// Fails with `error_kind::backend_refused` if `source` is not a valid statement.
[[nodiscard]] result<statement> parse_statement(const boost::json::value& source);

// Returns true if the statement changes the database.
[[nodiscard]] bool writes(const statement& parsed) noexcept;

} // namespace primrosehead::standin
