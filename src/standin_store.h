// The stand-in's data: a multi-version store that tags each value with the log index that wrote it.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::standin {

// Reads specify the log index whose state they see, so writers do not affect concurrent readers.
// Keeps all versions, because the tail of a replica's log may have to be truncated.
class versioned_store {
  public:
    // Returns the value of `key` at `index`, or a null pointer if it had none.
    [[nodiscard]] const boost::json::value* find(std::string_view key, std::uint64_t index) const;

    // Returns at most `limit` items whose key begins with `prefix`, in key order.
    [[nodiscard]] boost::json::object scan(std::string_view prefix, std::uint32_t limit,
                                           std::uint64_t index) const;

    // Adds a version. Precondition: `index` is not lower than that of any earlier call.
    void put(std::string_view key, boost::json::value value, std::uint64_t index);

    // Removes every version written after `index`.
    void truncate_after(std::uint64_t index);

    // Return true if `key`, or any key that begins with `prefix`, changed after `index`.
    [[nodiscard]] bool key_changed_after(std::string_view key, std::uint64_t index) const;
    [[nodiscard]] bool prefix_changed_after(std::string_view prefix, std::uint64_t index) const;

  private:
    struct version {
        std::uint64_t index = 0;
        boost::json::value value;
    };
    using versions = std::vector<version>;

    [[nodiscard]] static const boost::json::value* at(const versions& list, std::uint64_t index);

    std::map<std::string, versions, std::less<>> keys_;
};

} // namespace primrosehead::standin
