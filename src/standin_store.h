// The stand-in's data: every value of every key under the log index that wrote it.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::standin {

// Reads name the log index whose state they see, so that a reader is never disturbed by writers.
// Keeps all versions, as a replica's tail may have to be dropped.
class versioned_store {
  public:
    // The value of `key` at `index`; null pointer when it had none.
    [[nodiscard]] const boost::json::value* find(std::string_view key, std::uint64_t index) const;

    // At most `limit` items whose key begins with `prefix`, in the order of keys.
    [[nodiscard]] boost::json::object scan(std::string_view prefix, std::uint32_t limit,
                                           std::uint64_t index) const;

    // Adds a version. Indexes only rise.
    void put(std::string_view key, boost::json::value value, std::uint64_t index);

    // Drops every version after `index`.
    void truncate_after(std::uint64_t index);

    // True when some key that begins with `prefix`, or just `key`, changed after `index`.
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
