// Compression of published documents, which the log, snapshots and messages to instances contain in
// full.
#pragma once

#include <primrosehead/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class published_record;
}

namespace primrosehead {

// Returns the record to publish for a document's text under the operators' `version`.
[[nodiscard]] pb::published_record compress_document(std::string_view name, std::uint64_t version,
                                                     std::string_view text);

// Returns the document's text. Fails with `error_kind::corrupt_storage` if the record is damaged or
// the text exceeds `config::max_published_bytes`.
[[nodiscard]] result<std::string> decompress_document(const pb::published_record& record);

} // namespace primrosehead
