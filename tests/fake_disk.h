// In-memory data folder that loses unsynced data on a crash.
#pragma once

#include <primrosehead/journal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

// Faults to inject into a folder.
struct disk_faults {
    bool torn_writes = true;  // a crash may leave a prefix of the unsynced bytes
    bool ignore_sync = false; // report success without syncing
    std::uint64_t fail_writes_after = UINT64_MAX; // writes, syncs and removals that succeed
};

// The files of one folder; outlives the simulated processes that open it.
class fake_folder {
  public:
    explicit fake_folder(std::uint64_t seed, disk_faults faults = {});

    // Returns the folder as one process sees it, for `journal::open`.
    [[nodiscard]] std::unique_ptr<disk> open();

    // Simulates a power loss: removes files whose creation was not synced, and discards unsynced
    // bytes or all but a random prefix of them.
    void crash();

    void flip_bit(std::string_view name, std::uint64_t bit);
    void truncate(std::string_view name, std::uint64_t size);
    void fail_writes_after(std::uint64_t count) { faults_.fail_writes_after = count; }

    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] const std::string& bytes(std::string_view name) const;
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

  private:
    friend class fake_disk;

    struct file {
        std::string synced;
        std::string current;
        bool is_name_synced = false;
    };

    // Counts one write; returns false if it must fail.
    bool consume_write();

    std::mt19937_64 random_;
    disk_faults faults_;
    std::map<std::string, file, std::less<>> files_;
    std::uint64_t syncs_ = 0;
};

} // namespace primrosehead::testing
