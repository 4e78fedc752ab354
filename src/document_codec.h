// Compresses published documents: the log, snapshots and instances' messages carry them whole.
#pragma once

#include <primrosehead/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class published_record;
}

namespace primrosehead {

// The record of a document's text under the operators' `version`.
[[nodiscard]] pb::published_record compress_document(std::string_view name, std::uint64_t version,
                                                     std::string_view text);

// `error_kind::corrupt_storage` when the bytes are no document of at most
// config::max_published_bytes.
[[nodiscard]] result<std::string> decompress_document(const pb::published_record& record);

} // namespace primrosehead
