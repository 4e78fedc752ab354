#include "fake_disk.h"

#include <utility>

namespace primrosehead::testing {

namespace {

error no_file(std::string_view name)
{
    return error{error_kind::storage_failed, "No file " + std::string(name) + ".", "", ran::no, {}};
}

error full()
{
    return error{error_kind::storage_failed, "The fake disk refuses writes.", "", ran::no, {}};
}

} // namespace

// One process' view.
class fake_disk : public disk {
  public:
    explicit fake_disk(fake_folder& folder) : folder_(folder) {}

    result<std::vector<std::string>> list() override { return folder_.names(); }

    result<std::string> read(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return no_file(name);
        }
        return found->second.current;
    }

    status append(std::string_view name, std::string_view bytes) override
    {
        if (!folder_.consume_write()) {
            return full();
        }
        folder_.files_[std::string(name)].current += bytes;
        return std::monostate{};
    }

    status truncate(std::string_view name, std::uint64_t size) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return no_file(name);
        }
        found->second.current.resize(size);
        return std::monostate{};
    }

    status replace(std::string_view name, std::string_view bytes) override
    {
        if (!folder_.consume_write()) {
            return full();
        }
        fake_folder::file& replaced = folder_.files_[std::string(name)];
        replaced.current = bytes;
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            replaced.synced = bytes;
            replaced.name_synced = true;
        }
        return std::monostate{};
    }

    status remove(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return no_file(name);
        }
        if (!folder_.consume_write()) {
            return full();
        }
        folder_.files_.erase(found);
        return std::monostate{};
    }

    status sync(std::string_view name) override
    {
        const auto found = folder_.files_.find(name);
        if (found == folder_.files_.end()) {
            return no_file(name);
        }
        if (!folder_.consume_write()) {
            return full();
        }
        ++folder_.syncs_;
        if (!folder_.faults_.ignore_sync) {
            found->second.synced = found->second.current;
            found->second.name_synced = true;
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
    std::erase_if(files_, [](const auto& entry) { return !entry.second.name_synced; });
    for (auto& [name, one] : files_) {
        std::string kept = one.synced;
        const bool appended = one.current.size() > kept.size();
        if (appended && faults_.torn_writes) {
            const std::uint64_t unsynced = one.current.size() - kept.size();
            const std::uint64_t part = random_() % (unsynced + 1);
            kept += one.current.substr(kept.size(), part);
        }
        one.current = kept;
        one.synced = kept;
    }
}

void fake_folder::flip_bit(std::string_view name, std::uint64_t bit)
{
    std::string& bytes = files_.find(name)->second.current;
    const std::uint64_t place = bit / 8 % bytes.size();
    bytes[place] = static_cast<char>(static_cast<unsigned char>(bytes[place]) ^ (1U << (bit % 8)));
    files_.find(name)->second.synced = bytes;
}

void fake_folder::truncate(std::string_view name, std::uint64_t size)
{
    file& one = files_.find(name)->second;
    one.current.resize(size);
    one.synced = one.current;
}

std::vector<std::string> fake_folder::names() const
{
    std::vector<std::string> found;
    for (const auto& [name, one] : files_) {
        found.push_back(name);
    }
    return found;
}

const std::string& fake_folder::bytes(std::string_view name) const
{
    return files_.find(name)->second.current;
}

} // namespace primrosehead::testing
