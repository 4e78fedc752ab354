// The data folder of a control instance: checksummed log records, snapshots, hard state, identity.
//
// A torn tail (a record cut by a crash at the end of the last file) is cut off at start. A damaged
// record before the end is refused with `error_kind::corrupt_storage`. Nothing counts as durable
// before `sync` returned.
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

class journal {
  public:
    struct contents {
        pb::disk_record identity;
        pb::hard_state hard;
        std::optional<pb::snapshot_record> snapshot;
        std::vector<pb::log_entry> entries;
        bool tail_was_cut = false;
    };

    // Opens or initialises the folder. A new folder gets `fresh_disk_id`.
    // `error_kind::corrupt_storage` names the file, the offset and the remedy.
    [[nodiscard]] static result<journal> open(std::unique_ptr<disk> files,
                                              const pb::disk_record& fresh);

    [[nodiscard]] contents take_contents(); // once, after open

    [[nodiscard]] status write_hard_state(const pb::hard_state& hard);
    [[nodiscard]] status append(std::span<const pb::log_entry> entries);
    [[nodiscard]] status truncate_from(std::uint64_t index);
    [[nodiscard]] status
    write_snapshot(const pb::snapshot_record& snapshot); // drops covered entries
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
