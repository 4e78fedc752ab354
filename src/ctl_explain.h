// The command `explain`: the decisions made for a caller's request.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

// Searches the files of --decision-log.
[[nodiscard]] int explain_files(std::string_view request_id);
[[nodiscard]] bool has_decision_files();

// Asks the entry instances.
[[nodiscard]] int explain(const target& to, std::string_view request_id);

} // namespace primrosehead::ctl
