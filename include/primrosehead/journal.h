// The data folder of a control instance: checksummed log records, snapshots, hard state, identity.
//
// A torn tail (the last write, cut by a crash) is cut off at start. A damaged record before it is
// refused with `error_kind::corrupt_storage`. Nothing counts as durable before `sync` returned.
//
// After a failed call the journal must not be used again: the process ends.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// Files of one folder. `posix_disk` is the real one; tests use a fake that loses what was not
// synced.
class disk {
  public:
    virtual ~disk() = default;
    disk() = default;
    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;

    [[nodiscard]] virtual result<std::vector<std::string>> list() = 0;
    [[nodiscard]] virtual result<std::string> read(std::string_view file) = 0;
    [[nodiscard]] virtual status append(std::string_view file, std::string_view bytes) = 0;
    [[nodiscard]] virtual status truncate(std::string_view file, std::uint64_t size) = 0;
    // Writes a whole file beside the old one, syncs it and renames it over.
    [[nodiscard]] virtual status replace(std::string_view file, std::string_view bytes) = 0;
    [[nodiscard]] virtual status remove(std::string_view file) = 0;
    [[nodiscard]] virtual status sync(std::string_view file) = 0;
};

// Opens a folder, making it when it is missing, and locks it against a second process.
[[nodiscard]] result<std::unique_ptr<disk>> open_posix_disk(std::string_view folder);

// Turns a safety mechanism off, so that a test can show that its checker catches the breach.
struct journal_switches {
    bool unsafe_skip_sync = false; // claim that writes are durable without syncing them
};

class journal {
  public:
    struct contents {
        pb::disk_record identity;
        pb::hard_state hard_state;
        std::optional<pb::snapshot_record> snapshot;
        std::vector<pb::log_entry> entries;
        bool is_tail_truncated = false;
    };

    // Opens or initialises the folder. A new folder gets the identity `fresh`; one of another cell
    // or instance is refused with `error_kind::bad_settings`.
    // `error_kind::corrupt_storage` names the file, the offset and the remedy.
    [[nodiscard]] static result<journal>
    open(std::unique_ptr<disk> files, const pb::disk_record& fresh, journal_switches switches = {});

    [[nodiscard]] contents take_contents(); // once, after open

    [[nodiscard]] status write_hard_state(const pb::hard_state& hard);

    // Both take effect on the disk at the next `sync`.
    [[nodiscard]] status append(std::span<const pb::log_entry> entries);
    [[nodiscard]] status truncate_from(std::uint64_t index);

    // Drops covered entries; all of them when the log does not hold the snapshot's last entry.
    [[nodiscard]] status write_snapshot(const pb::snapshot_record& snapshot);

    // Writes what was appended as one record and syncs it.
    [[nodiscard]] status sync();

    ~journal();
    journal(journal&&) noexcept;
    journal& operator=(journal&&) noexcept;
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;

  private:
    struct implementation;
    explicit journal(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
