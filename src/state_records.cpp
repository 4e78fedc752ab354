#include "state_records.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace primrosehead {

std::uint64_t hash_record(const pb::state_record& record)
{
    if (record.removed()) {
        return 0;
    }
    const std::string bytes = record.SerializeAsString();
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::string record_key(std::string_view prefix, std::string_view name)
{
    std::string key(prefix);
    key += name;
    return key;
}

const pb::state_record* state_records::find(std::string_view key) const
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.record.removed()) {
        return nullptr;
    }
    return &found->second.record;
}

std::vector<const pb::state_record*> state_records::with_prefix(std::string_view prefix) const
{
    std::vector<const pb::state_record*> found;
    for (auto it = records_.lower_bound(prefix); it != records_.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            break;
        }
        if (!it->second.record.removed()) {
            found.push_back(&it->second.record);
        }
    }
    return found;
}

std::uint64_t state_records::latest_change(std::string_view prefix) const
{
    std::uint64_t latest = 0;
    for (auto it = records_.lower_bound(prefix);
         it != records_.end() && it->first.starts_with(prefix); ++it) {
        latest = std::max(latest, it->second.record.version());
    }
    return latest;
}

std::vector<const pb::state_record*> state_records::changed_after(std::uint64_t version) const
{
    std::vector<const pb::state_record*> found;
    for (auto it = keys_by_version_.upper_bound(version); it != keys_by_version_.end(); ++it) {
        found.push_back(&records_.at(it->second).record);
    }
    return found;
}

std::vector<const pb::state_record*> state_records::live_records() const
{
    return with_prefix({});
}

void state_records::update(pb::state_record record)
{
    ++version_;
    record.set_version(version_);
    put(std::move(record));
    drop_old_tombstones();
}

void state_records::put(pb::state_record record)
{
    const std::string key = record.key();
    const std::uint64_t version = record.version();
    stored_record& entry = records_[key];
    digest_ ^= entry.hash;
    if (entry.record.version() != 0) {
        keys_by_version_.erase(entry.record.version());
        tombstones_by_version_.erase(entry.record.version());
    }
    entry.hash = hash_record(record);
    digest_ ^= entry.hash;
    keys_by_version_[version] = key;
    if (record.removed()) {
        tombstones_by_version_[version] = key;
    }
    entry.record = std::move(record);
}

std::uint64_t state_records::digest_after(std::span<const pb::state_record* const> records) const
{
    std::uint64_t digest = digest_;
    for (const pb::state_record* record : records) {
        const auto existing = records_.find(record->key());
        if (existing != records_.end()) {
            digest ^= existing->second.hash;
        }
        digest ^= hash_record(*record);
    }
    return digest;
}

void state_records::drop_old_tombstones()
{
    while (tombstones_by_version_.size() > config::max_tombstones) {
        const auto oldest = tombstones_by_version_.begin();
        oldest_delta_version_ = oldest->first;
        keys_by_version_.erase(oldest->first);
        records_.erase(oldest->second);
        tombstones_by_version_.erase(oldest);
    }
}

} // namespace primrosehead
