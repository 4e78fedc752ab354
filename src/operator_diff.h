// What changes between two documents, by JSON path and without regard to layout.
#pragma once

#include <primrosehead/error.h>

#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// One difference. An empty text stands for a value that is not there.
struct document_change {
    std::string
        path; // "$.routes[find].timeout_ms"; items of a list are named where they have names
    std::string before;
    std::string after;
};

// The differences from `before` to `after`, in the order of the documents. An empty document stands
// for none. `error_kind::bad_settings` when one of them is not JSON.
[[nodiscard]] result<std::vector<document_change>> diff_documents(std::string_view before,
                                                                  std::string_view after);

} // namespace primrosehead
