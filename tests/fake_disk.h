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
    std::uint64_t fail_writes_after = UINT64_MAX; // changes and syncs that succeed
};

// What the disk does with the writes of a running process.
enum class disk_state {
    writable,
    full,       // appends leave a random prefix and fail, files are not replaced
    sync_fails, // syncs fail, and later ones succeed without storing the bytes written before
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
    void set_state(disk_state state) { state_ = state; }

    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] const std::string& bytes(std::string_view name) const;
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

  private:
    friend class fake_disk;

    struct file {
        void store();

        std::string synced;
        std::string current;
        bool is_name_synced = false;
        bool is_replaced = false;         // by a rename that was not synced
        std::uint64_t dropped_before = 0; // end of the bytes that a failed sync discarded
    };

    // Counts one write; returns false if it must fail.
    bool consume_write();

    std::mt19937_64 random_;
    disk_faults faults_;
    disk_state state_ = disk_state::writable;
    std::map<std::string, file, std::less<>> files_;
    std::uint64_t syncs_ = 0;
};

} // namespace primrosehead::testing
