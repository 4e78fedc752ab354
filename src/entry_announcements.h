// Parser for the announcements of backend servers (docs/BACKEND.md).
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>

#include <string_view>

namespace primrosehead {

// Parses the JSON body of an announcement. An `error_kind::bad_request` names the invalid member.
[[nodiscard]] result<pb::server_report> parse_announcement(std::string_view body);

} // namespace primrosehead
