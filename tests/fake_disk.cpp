#include "fake_disk.h"

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
        folder_.files_[std::string(name)].current += bytes;
        return std::monostate{};
    }

    status truncate(std::string_view name, std::uint64_t size) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return missing_file(name);
        }
        found->second.current.resize(size);
        return std::monostate{};
    }

    status replace(std::string_view name, std::string_view bytes) override
    {
        if (!folder_.consume_write()) {
            return write_failure();
        }
        fake_folder::file& replaced = folder_.files_[std::string(name)];
        replaced.current = bytes;
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            replaced.synced = bytes;
            replaced.is_name_synced = true;
        }
        return std::monostate{};
    }

    status remove(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return missing_file(name);
        }
        if (!folder_.consume_write()) {
            return write_failure();
        }
        folder_.files_.erase(found);
        return std::monostate{};
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
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            found->second.synced = found->second.current;
            found->second.is_name_synced = true;
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
        const bool appended = contents.current.size() > remaining.size();
        if (appended && faults_.torn_writes) {
            const std::uint64_t unsynced = contents.current.size() - remaining.size();
            const std::uint64_t prefix = random_() % (unsynced + 1);
            remaining += contents.current.substr(remaining.size(), prefix);
        }
        contents.current = remaining;
        contents.synced = remaining;
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
