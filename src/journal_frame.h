// Encoding of the checksummed records in the files of a data folder.
#pragma once

#include "primrosehead.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

enum class frame_kind : std::uint32_t {
    append = 1,      // entries that follow the last one of the log
    overwrite = 2,   // entries that replace the log from `first_index` on; may be empty
    sync_marker = 3, // states that all records before it were synced; not synced itself
    message = 4,     // one protobuf message: identity, hard state or snapshot
};

inline constexpr std::size_t empty_frame_bytes = 32; // a record without payload, such as a marker

// A decoded record. The checksum covers kind, first index, payload and the offset in the file, so
// that a record copied from another offset is rejected.
struct frame {
    frame_kind kind = frame_kind::append;
    std::uint64_t first_index = 0;
    std::string payload;
    std::size_t size = 0; // in bytes, including the header
};

[[nodiscard]] std::string encode_frame(frame_kind kind, std::uint64_t first_index,
                                       std::string_view payload, std::uint64_t offset);

// Returns the record at `offset`, or nothing if it is truncated or corrupt.
[[nodiscard]] std::optional<frame> decode_frame(std::string_view file, std::uint64_t offset);

// Returns the offset of the first valid record at or after `start`.
[[nodiscard]] std::optional<std::uint64_t> find_frame(std::string_view file, std::uint64_t start);

[[nodiscard]] std::string encode_entries(std::span<const pb::log_entry> entries);
[[nodiscard]] std::optional<std::vector<pb::log_entry>> decode_entries(std::string_view payload);

} // namespace primrosehead
