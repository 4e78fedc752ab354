// The records of the replicated state by key, with a digest that is independent of the order of
// changes.
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

// Each change increments the version and stores it in the changed record. A removed record leaves a
// tombstone so that deltas can carry the removal. Old tombstones are dropped, and a delta whose
// base is older than a dropped one is replaced by the full state.
class state_records {
  public:
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    // XOR of the hashes of all live records: equal records give equal digests.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    // The oldest base version for which a delta can be built.
    [[nodiscard]] std::uint64_t oldest_delta_version() const noexcept
    {
        return oldest_delta_version_;
    }

    // Returns the live record under `key`, or null if there is none.
    [[nodiscard]] const pb::state_record* find(std::string_view key) const;

    // Returns the live records whose keys start with `prefix`, ordered by key.
    [[nodiscard]] std::vector<const pb::state_record*> with_prefix(std::string_view prefix) const;

    // Returns the version of the latest change of a record whose key starts with `prefix`,
    // including tombstones; 0 if there is none.
    [[nodiscard]] std::uint64_t latest_change(std::string_view prefix) const;

    // Returns the records changed after `version`, including tombstones, ordered by version.
    [[nodiscard]] std::vector<const pb::state_record*> changed_after(std::uint64_t version) const;

    // Returns all live records, ordered by key.
    [[nodiscard]] std::vector<const pb::state_record*> live_records() const;

    // Increments the version and stores `record` with it. Drops excess tombstones.
    void update(pb::state_record record);

    // Stores `record` with the version that it carries; `version()` is unchanged.
    void put(pb::state_record record);

    // Returns the digest that `put` of all `records` would give. Their keys must be distinct.
    [[nodiscard]] std::uint64_t
    digest_after(std::span<const pb::state_record* const> records) const;

    // Set the versions after `put` of the records of a snapshot or a delta.
    void set_version(std::uint64_t version) noexcept { version_ = version; }
    void set_oldest_delta_version(std::uint64_t version) noexcept
    {
        oldest_delta_version_ = version;
    }

    // Drops the oldest tombstones in excess of `config::max_tombstones`.
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

// Returns the hash of a live record, or 0 for a tombstone.
[[nodiscard]] std::uint64_t hash_record(const pb::state_record& record);

// Prefixes of record keys, as in "environment/NAME".
inline constexpr std::string_view environment_prefix = "environment/";
inline constexpr std::string_view key_prefix = "key/";
inline constexpr std::string_view group_prefix = "group/";
inline constexpr std::string_view instance_prefix = "instance/";
inline constexpr std::string_view published_prefix = "published/";
inline constexpr std::string_view evacuation_prefix = "evacuation/";
inline constexpr std::string_view request_prefix = "request/";

[[nodiscard]] std::string record_key(std::string_view prefix, std::string_view name);

} // namespace primrosehead
