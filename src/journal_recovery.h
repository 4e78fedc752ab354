// Recovers the contents of a data folder at startup.
#pragma once

#include <primrosehead/journal.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

inline constexpr std::string_view identity_file = "identity";
inline constexpr std::string_view hard_state_file = "hard-state";
inline constexpr std::string_view snapshot_file = "snapshot";

// One file of the log. Files are numbered in the order in which they were created.
struct segment {
    std::uint64_t number = 0;
    std::uint64_t size = 0;          // in bytes
    std::uint64_t highest_index = 0; // of all entries written to it, including overwritten ones
    std::uint64_t synced_size = 0;   // in bytes, of the prefix that is durable
};

[[nodiscard]] std::string segment_file_name(std::uint64_t number);

// The recovered contents, and the files of the log.
struct recovered_folder {
    journal::contents contents;
    std::vector<segment> segments;
    std::vector<std::string> obsolete_files; // log files to remove, newest first
};

// Validates every record and truncates a torn tail. Initialises an empty folder with
// `new_identity`.
[[nodiscard]] result<recovered_folder> recover_folder(disk& files,
                                                      const pb::disk_record& new_identity);

// Returns whether `entries` contain the snapshot's last entry, so that the entries after it remain
// valid.
[[nodiscard]] bool continues_snapshot(const std::vector<pb::log_entry>& entries,
                                      const pb::snapshot_record& snapshot);

} // namespace primrosehead
