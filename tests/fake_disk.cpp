#include "fake_disk.h"

#include <algorithm>
#include <utility>

namespace primrosehead::testing {

namespace {

error missing_file(std::string_view name)
{
    return error{error_kind::storage_failed,
                 "File " + std::string(name) + " does not exist.",
                 "",
                 ran::no,
                 {}};
}

error write_failure()
{
    return error{error_kind::storage_failed, "The fake disk rejects writes.", "", ran::no, {}};
}

} // namespace

// The folder as one process sees it.
class fake_disk : public disk {
  public:
    explicit fake_disk(fake_folder& folder) : folder_(folder) {}

    result<std::vector<std::string>> list() override { return folder_.names(); }

    result<std::string> read(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return missing_file(name);
        }
        return found->second.current;
    }

    status append(std::string_view name, std::string_view bytes) override
    {
        if (!folder_.consume_write()) {
            return write_failure();
        }
        fake_folder::file& appended = folder_.files_[std::string(name)];
        if (folder_.state_ == disk_state::full) {
            appended.current += bytes.substr(0, folder_.random_() % bytes.size());
            return write_failure();
        }
        appended.current += bytes;
        return std::monostate{};
    }

    status truncate(std::string_view name, std::uint64_t size) override
    {
        if (!folder_.consume_write()) {
            return write_failure();
        }
        fake_folder::file& truncated = folder_.files_[std::string(name)];
        truncated.current.resize(size);
        truncated.dropped_before = std::min(truncated.dropped_before, size);
        return std::monostate{};
    }

    status replace(std::string_view name, std::string_view bytes) override
    {
        const bool is_renamed =
            folder_.state_ == disk_state::writable ||
            (folder_.state_ == disk_state::sync_fails && folder_.random_() % 2 == 0);
        if (!folder_.consume_write() || !is_renamed) {
            return write_failure();
        }
        fake_folder::file& replaced = folder_.files_[std::string(name)];
        replaced.current = bytes;
        replaced.is_replaced = true;
        if (folder_.state_ == disk_state::sync_fails) {
            return write_failure();
        }
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            replaced.synced = bytes;
            replaced.is_name_synced = true;
            replaced.is_replaced = false;
        }
        return std::monostate{};
    }

    // A removal whose sync fails may have taken effect.
    status remove(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return std::monostate{};
        }
        const bool is_synced = folder_.consume_write() && folder_.state_ != disk_state::sync_fails;
        if (is_synced || folder_.random_() % 2 == 0) {
            folder_.files_.erase(found);
        }
        return is_synced ? status(std::monostate{}) : status(write_failure());
    }

    status sync(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return missing_file(name);
        }
        if (!folder_.consume_write()) {
            return write_failure();
        }
        if (folder_.state_ == disk_state::sync_fails) {
            found->second.dropped_before = found->second.current.size();
            return write_failure();
        }
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            found->second.store();
        }
        return std::monostate{};
    }

  private:
    fake_folder& folder_;
};

fake_folder::fake_folder(std::uint64_t seed, disk_faults faults) : random_(seed), faults_(faults) {}

std::unique_ptr<disk> fake_folder::open()
{
    return std::make_unique<fake_disk>(*this);
}

// Stores the bytes, except those that an earlier failed sync discarded.
void fake_folder::file::store()
{
    const std::uint64_t stored = std::min<std::uint64_t>(synced.size(), current.size());
    std::string bytes = current;
    if (dropped_before > stored) {
        bytes.replace(stored, dropped_before - stored, dropped_before - stored, '\0');
    }
    synced = std::move(bytes);
    dropped_before = 0;
    is_name_synced = true;
}

bool fake_folder::consume_write()
{
    if (faults_.fail_writes_after == 0) {
        return false;
    }
    --faults_.fail_writes_after;
    return true;
}

void fake_folder::crash()
{
    std::erase_if(files_, [](const auto& entry) { return !entry.second.is_name_synced; });
    for (auto& [name, contents] : files_) {
        std::string remaining = contents.synced;
        const bool appended = !contents.is_replaced && contents.current.size() > remaining.size();
        if (appended && faults_.torn_writes) {
            const std::uint64_t unsynced = contents.current.size() - remaining.size();
            const std::uint64_t prefix = random_() % (unsynced + 1);
            remaining += contents.current.substr(remaining.size(), prefix);
        }
        contents.current = remaining;
        contents.synced = remaining;
        contents.is_replaced = false;
        contents.dropped_before = 0;
    }
}

void fake_folder::flip_bit(std::string_view name, std::uint64_t bit)
{
    std::string& bytes = files_.find(name)->second.current;
    const std::uint64_t offset = bit / 8 % bytes.size();
    bytes[offset] =
        static_cast<char>(static_cast<unsigned char>(bytes[offset]) ^ (1U << (bit % 8)));
    files_.find(name)->second.synced = bytes;
}

void fake_folder::truncate(std::string_view name, std::uint64_t size)
{
    file& contents = files_.find(name)->second;
    contents.current.resize(size);
    contents.synced = contents.current;
}

std::vector<std::string> fake_folder::names() const
{
    std::vector<std::string> found;
    for (const auto& [name, contents] : files_) {
        found.push_back(name);
    }
    return found;
}

const std::string& fake_folder::bytes(std::string_view name) const
{
    return files_.find(name)->second.current;
}

} // namespace primrosehead::testing
