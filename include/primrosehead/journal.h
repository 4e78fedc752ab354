// The data folder of a control instance: checksummed log records, snapshots, hard state, identity.
//
// A torn tail (the last write, interrupted by a crash) is truncated at startup. A corrupt record
// before it is reported as `error_kind::corrupt_storage`. Writes are durable only once `sync`
// returns.
//
// A call that failed with `error_kind::storage_failed` must be repeated before any other write; it
// then succeeds once the disk accepts writes. Until then nothing that it writes counts as durable.
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

// File operations on one folder. `posix_disk` is the production implementation; tests use a fake
// that loses unsynced data on a crash.
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
    // Atomically replaces the contents of `file`: writes and syncs a temporary file, then renames
    // it.
    [[nodiscard]] virtual status replace(std::string_view file, std::string_view bytes) = 0;
    // Succeeds if the file does not exist.
    [[nodiscard]] virtual status remove(std::string_view file) = 0;
    // After a failure the bytes since the last successful sync are lost: they must be truncated and
    // written again.
    [[nodiscard]] virtual status sync(std::string_view file) = 0;
};

// Opens a folder, creating it if it is missing, and locks it against other processes. Fails with
// `error_kind::storage_failed`.
[[nodiscard]] result<std::unique_ptr<disk>> open_posix_disk(std::string_view folder);

// Disables a safety mechanism so that tests can show that their checkers detect the violation.
struct journal_switches {
    bool unsafe_skip_sync = false; // report writes as durable without syncing
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

    // Opens the folder, initialising an empty one with `new_identity`. Fails with
    // `error_kind::bad_settings` if the folder belongs to another cell or instance, and with
    // `error_kind::corrupt_storage`, which names the file, the offset and the remedy.
    [[nodiscard]] static result<journal> open(std::unique_ptr<disk> files,
                                              const pb::disk_record& new_identity,
                                              journal_switches switches = {});

    [[nodiscard]] contents take_contents(); // may be called once, after `open`

    [[nodiscard]] status write_initial_members(const pb::membership& members);
    [[nodiscard]] status write_hard_state(const pb::hard_state& hard);

    // Both are buffered until the next `sync`.
    [[nodiscard]] status append(std::span<const pb::log_entry> entries);
    [[nodiscard]] status truncate_from(std::uint64_t index);

    // Stores the snapshot and removes the log files that it covers, or all of them if the log does
    // not contain the snapshot's last entry.
    [[nodiscard]] status write_snapshot(const pb::snapshot_record& snapshot);

    // Writes the buffered changes as one record and syncs it. They stay buffered if this fails.
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
