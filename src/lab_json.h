// Checked reading of JSON objects for the settings and plans of the lab's programs.
#pragma once

#include <primrosehead/error.h>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::lab {

// Reads the members of one object. The first fault is kept with its JSON path; `finish` also
// refuses members that nobody asked for.
class object_reader {
  public:
    // `path` is the JSON path of `source`, such as "$.group[0]".
    object_reader(const boost::json::value& source, std::string path);

    // A missing member is a fault when no default is given.
    std::string string(std::string_view key, std::optional<std::string_view> fallback = {});
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = {});
    double number(std::string_view key, double low, double high,
                  std::optional<double> fallback = {});
    bool boolean(std::string_view key, bool fallback);
    std::vector<std::string> strings(std::string_view key);

    // Calls `read` for each object of an array; a missing array is an empty one.
    void objects(std::string_view key, const std::function<void(object_reader&)>& read);

    // The member as it stands; null when missing.
    const boost::json::value* find(std::string_view key);

    void set_error(std::string_view key, std::string_view expected);
    [[nodiscard]] status finish();

  private:
    [[nodiscard]] const boost::json::value* find_member(std::string_view key);
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const boost::json::object* members_ = nullptr;
    std::string path_;
    std::vector<std::string> known_keys_;
    std::optional<error> error_;
};

// Parses JSON text; the error says where it breaks.
[[nodiscard]] result<boost::json::value> parse_json(std::string_view text);

} // namespace primrosehead::lab
