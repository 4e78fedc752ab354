// The records of the replicated state under their keys, with a digest that does not depend on the
// order of changes.
#pragma once

#include "primrosehead.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// Every change stamps one record with the next version. A removed record leaves a tombstone, so
// that deltas can carry the removal; old tombstones are dropped, and deltas from before them are
// whole states.
class state_records {
  public:
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    // XOR of the hashes of all live records: two states with the same records have the same digest.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    // Deltas are known from this version on.
    [[nodiscard]] std::uint64_t oldest_delta_version() const noexcept
    {
        return oldest_delta_version_;
    }

    // The live record under a key; null when there is none.
    [[nodiscard]] const pb::state_record* find(std::string_view key) const;

    // Live records whose keys begin with `prefix`, by key.
    [[nodiscard]] std::vector<const pb::state_record*> with_prefix(std::string_view prefix) const;

    // Records changed after `version`, tombstones included, in the order of their versions.
    [[nodiscard]] std::vector<const pb::state_record*> changed_after(std::uint64_t version) const;

    // Every live record, by key.
    [[nodiscard]] std::vector<const pb::state_record*> live_records() const;

    // Stamps a record with the next version and stores it.
    void update(pb::state_record record);

    // Stores a record under the version that it carries.
    void put(pb::state_record record);

    // The digest after `put` of `records`, which have different keys.
    [[nodiscard]] std::uint64_t
    digest_after(std::span<const pb::state_record* const> records) const;

    // Sets the versions of a state that was read whole or followed by a delta.
    void set_version(std::uint64_t version) noexcept { version_ = version; }
    void set_oldest_delta_version(std::uint64_t version) noexcept
    {
        oldest_delta_version_ = version;
    }

    // Drops the oldest tombstones above `config::max_tombstones`.
    void drop_old_tombstones();

  private:
    struct stored_record {
        pb::state_record record;
        std::uint64_t hash = 0; // 0 for a tombstone
    };

    std::map<std::string, stored_record, std::less<>> records_;
    std::map<std::uint64_t, std::string> keys_by_version_;
    std::map<std::uint64_t, std::string> tombstones_by_version_;
    std::uint64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::uint64_t oldest_delta_version_ = 0;
};

// Hash of a live record; 0 for a tombstone.
[[nodiscard]] std::uint64_t hash_record(const pb::state_record& record);

// Keys of records: "environment/NAME" and so on.
inline constexpr std::string_view environment_prefix = "environment/";
inline constexpr std::string_view key_prefix = "key/";
inline constexpr std::string_view group_prefix = "group/";
inline constexpr std::string_view instance_prefix = "instance/";
inline constexpr std::string_view published_prefix = "published/";
inline constexpr std::string_view request_prefix = "request/";

[[nodiscard]] std::string record_key(std::string_view prefix, std::string_view name);

} // namespace primrosehead
