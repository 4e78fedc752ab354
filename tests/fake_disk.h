// A data folder in memory that loses on a crash what was not synced.
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

// What may go wrong with a folder.
struct disk_faults {
    bool torn_writes = true;  // a crash may leave a part of the last unsynced write
    bool ignore_sync = false; // a disk that claims to have synced
    std::uint64_t fail_writes_after = UINT64_MAX; // writes, syncs and removals that succeed
};

// The files of one folder; outlives the processes that open it.
class fake_folder {
  public:
    explicit fake_folder(std::uint64_t seed, disk_faults faults = {});

    // A process' view of the folder, to be given to `journal::open`.
    [[nodiscard]] std::unique_ptr<disk> open();

    // Power loss: unsynced bytes go, or a random part of them stays.
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
        bool name_synced = false;
    };

    bool consume_write();

    std::mt19937_64 random_;
    disk_faults faults_;
    std::map<std::string, file, std::less<>> files_;
    std::uint64_t syncs_ = 0;
};

} // namespace primrosehead::testing
