// Validation of JSON texts against a schema, with errors that name the JSON path.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <boost/json/value.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace primrosehead {

// A compiled JSON schema. Each property's `description` states the expected value; errors quote it.
class json_schema {
  public:
    // `text` is a schema compiled into this program; throws if it is malformed.
    explicit json_schema(std::string_view text);
    ~json_schema();
    json_schema(const json_schema&) = delete;
    json_schema& operator=(const json_schema&) = delete;

    // Parses and validates `text`. `error_kind::bad_settings` names the JSON path, the expected
    // value and the value found.
    [[nodiscard]] result<boost::json::value> read(std::string_view text) const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

// Makes the error for a value at `path` that is out of bounds or inconsistent with another value.
[[nodiscard]] error settings_error(std::string_view path, std::string_view expected,
                                   std::string_view found, std::string_view remedy);

// Returns "$.routes[2].database" for "$.routes", 2 and "database".
[[nodiscard]] std::string item_path(std::string_view array, std::size_t index,
                                    std::string_view field = {});

// Reads an optional field of a validated object; `target` keeps its value if the field is missing.
void read_field(const boost::json::object& object, std::string_view name, std::string& target);
void read_field(const boost::json::object& object, std::string_view name, bool& target);
void read_field(const boost::json::object& object, std::string_view name, double& target);
void read_field(const boost::json::object& object, std::string_view name, std::uint32_t& target);
void read_field(const boost::json::object& object, std::string_view name, clock::duration& target);

// Returns the text of a validated field, or an empty text if it is missing.
[[nodiscard]] std::string_view text_field(const boost::json::object& object, std::string_view name);

// Returns the array of a validated field, or an empty array if it is missing.
[[nodiscard]] const boost::json::array& array_field(const boost::json::object& object,
                                                    std::string_view name);

// True for 1 to `max_name_bytes` letters, digits, '.', '_' and '-', beginning with a letter or
// digit.
inline constexpr std::size_t max_name_bytes = 64;
[[nodiscard]] bool is_valid_name(std::string_view text) noexcept;

// Fails with `error_kind::bad_settings` for `path` if `is_valid_name` rejects `name`.
[[nodiscard]] status check_name(std::string_view path, std::string_view name);

} // namespace primrosehead
