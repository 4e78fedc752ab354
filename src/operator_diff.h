// Differences between two JSON documents by JSON path, regardless of formatting.
#pragma once

#include <primrosehead/error.h>

#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// One difference. An empty text means that the value is absent.
struct document_change {
    // Such as "$.routes[find].timeout_ms". Array items are identified by their `name`, if any.
    std::string path;
    std::string before;
    std::string after;
};

// Returns the differences from `before` to `after` in document order. An empty text counts as an
// empty object. Fails with `error_kind::bad_settings` if one of the documents is not JSON.
[[nodiscard]] result<std::vector<document_change>> diff_documents(std::string_view before,
                                                                  std::string_view after);

} // namespace primrosehead
