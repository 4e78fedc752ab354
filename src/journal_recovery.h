// Reads the data folder at start.
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

// One file of the log. Files are numbered in the order in which they were begun.
struct segment {
    std::uint64_t number = 0;
    std::uint64_t bytes = 0;
    std::uint64_t highest_index = 0; // of all entries ever written to it
};

[[nodiscard]] std::string segment_file(std::uint64_t number);

// What the folder holds, and the files that hold the log.
struct recovered_folder {
    journal::contents contents;
    std::vector<segment> segments;
    std::vector<std::string> obsolete; // log files to remove, newest first
};

// Checks every record; cuts a torn tail off. Initialises an empty folder.
[[nodiscard]] result<recovered_folder> recover_folder(disk& files, const pb::disk_record& fresh);

// True when `entries` hold the snapshot's last entry, so that what follows it is still good.
[[nodiscard]] bool continues_snapshot(const std::vector<pb::log_entry>& entries,
                                      const pb::snapshot_record& snapshot);

} // namespace primrosehead
