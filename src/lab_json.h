// Validating reader of JSON objects for the settings and plans of the lab's programs.
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

// Reads the members of one object. Only the first error is kept, with its JSON path; `finish`
// also rejects members that have not been read.
class object_reader {
  public:
    // `path` is the JSON path of `source`, such as "$.group[0]".
    object_reader(const boost::json::value& source, std::string path);

    // Each reader returns `fallback` for a missing member; without a fallback, the missing member
    // is an error. `low` and `high` are inclusive bounds.
    std::string string(std::string_view key, std::optional<std::string_view> fallback = {});
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = {});
    double number(std::string_view key, double low, double high,
                  std::optional<double> fallback = {});
    bool boolean(std::string_view key, bool fallback);
    // A missing array gives an empty vector.
    std::vector<std::string> strings(std::string_view key);

    // Calls `read` for each object of the array `key`; a missing array is treated as empty.
    void objects(std::string_view key, const std::function<void(object_reader&)>& read);

    // Returns the unchecked member, or null when it is missing.
    const boost::json::value* find(std::string_view key);

    // Records an error of the member `key`, unless an earlier error is recorded.
    void set_error(std::string_view key, std::string_view expected);
    // Returns the first error; checks for unknown members when there is none.
    [[nodiscard]] status finish();

  private:
    [[nodiscard]] const boost::json::value* find_member(std::string_view key);
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const boost::json::object* members_ = nullptr;
    std::string path_;
    std::vector<std::string> known_keys_;
    std::optional<error> error_;
};

// Parses JSON text; the error states the byte offset at which parsing failed.
[[nodiscard]] result<boost::json::value> parse_json(std::string_view text);

} // namespace primrosehead::lab
