// JSON texts checked against a schema, with errors that name the JSON path.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <boost/json/value.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace primrosehead {

// A compiled JSON schema. Each property's `description` says what is expected there, and is what an
// error quotes.
class json_schema {
  public:
    // `text` is a schema of this program: a malformed one throws.
    explicit json_schema(std::string_view text);
    ~json_schema();
    json_schema(const json_schema&) = delete;
    json_schema& operator=(const json_schema&) = delete;

    // Parses `text` and checks it. `error_kind::bad_settings` names the path, what was expected and
    // what was found.
    [[nodiscard]] result<boost::json::value> read(std::string_view text) const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

// The error for a value at `path` that contradicts another one or is out of its bounds.
[[nodiscard]] error settings_error(std::string_view path, std::string_view expected,
                                   std::string_view found, std::string_view remedy);

// "$.routes[2].database" from "$.routes", 2 and "database".
[[nodiscard]] std::string item_path(std::string_view array, std::size_t index,
                                    std::string_view field = {});

// Reads one optional field of a checked object; `target` keeps its default when the field is
// missing.
void read_field(const boost::json::object& object, std::string_view name, std::string& target);
void read_field(const boost::json::object& object, std::string_view name, bool& target);
void read_field(const boost::json::object& object, std::string_view name, double& target);
void read_field(const boost::json::object& object, std::string_view name, std::uint32_t& target);
void read_field(const boost::json::object& object, std::string_view name, clock::duration& target);

// The text of a checked field; empty when it is missing.
[[nodiscard]] std::string_view text_field(const boost::json::object& object, std::string_view name);

// The array of a checked field; empty when it is missing.
[[nodiscard]] const boost::json::array& array_field(const boost::json::object& object,
                                                    std::string_view name);

// True for 1 to `max_name_bytes` letters, digits, '.', '_' and '-', beginning with a letter or
// digit.
inline constexpr std::size_t max_name_bytes = 64;
[[nodiscard]] bool is_valid_name(std::string_view text) noexcept;

// Finds the error of the first name in a text field that `is_valid_name` refuses.
[[nodiscard]] status check_name(std::string_view path, std::string_view name);

} // namespace primrosehead
