// Reads fields of a JSON object whose writer may be another program.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace primrosehead {

// `text` and `number` return nothing when a field is absent or has another type. The object must
// outlive the reader.
class json_field_reader {
  public:
    explicit json_field_reader(const boost::json::object& body) : body_(body) {}

    [[nodiscard]] std::optional<std::string_view> text(std::string_view name) const;
    [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const;
    // Returns null when the field is absent.
    [[nodiscard]] const boost::json::value* any(std::string_view name) const;

  private:
    const boost::json::object& body_;
};

} // namespace primrosehead
