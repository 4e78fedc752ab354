// Checksummed records as they stand in the files of a data folder.
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
    append = 1,    // entries that follow the log's last one
    overwrite = 2, // entries that replace the log from their first index on; may be none
    sync_marker = 3,      // everything before was synced; not synced itself
    message = 4,   // one protobuf message: identity, hard state or snapshot
};

// A record: kind, index of its first entry, payload. The checksum covers all of them together with
// the offset in the file, so that bytes copied from elsewhere don't pass.
struct frame {
    frame_kind kind = frame_kind::append;
    std::uint64_t first_index = 0;
    std::string payload;
    std::size_t size = 0; // in the file, header included
};

[[nodiscard]] std::string encode_frame(frame_kind kind, std::uint64_t first_index,
                                       std::string_view payload, std::uint64_t offset);

// The record at `offset`; nothing when it is cut short or damaged.
[[nodiscard]] std::optional<frame> decode_frame(std::string_view file, std::uint64_t offset);

// The offset of a whole record at or after `from`.
[[nodiscard]] std::optional<std::uint64_t> find_frame(std::string_view file, std::uint64_t from);

[[nodiscard]] std::string encode_entries(std::span<const pb::log_entry> entries);
[[nodiscard]] std::optional<std::vector<pb::log_entry>> decode_entries(std::string_view payload);

} // namespace primrosehead
