// Backend servers' announcements (docs/BACKEND.md).
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead {

// Reads an announcement's body; `error_kind::bad_request` names the member that is wrong.
[[nodiscard]] result<pb::server_report> parse_announcement(std::string_view body);

} // namespace primrosehead
