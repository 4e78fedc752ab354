// The primrosectl command `explain`: prints the decisions made for a caller's request.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

// Searches the decision logs given by --decision-log.
[[nodiscard]] int explain_from_decision_logs(std::string_view request_id);
[[nodiscard]] bool has_decision_logs();

// Searches the files given by --log, which hold the instances' standard output.
[[nodiscard]] int explain_from_logs(std::string_view request_id);
[[nodiscard]] bool has_logs();

// Queries the entry instances.
[[nodiscard]] int explain(const target& destination, std::string_view request_id);

} // namespace primrosehead::ctl
