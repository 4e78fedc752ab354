// The command `explain`: the decisions made for a caller's request.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

// Searches the files of --decision-log.
[[nodiscard]] int explain_from_decision_logs(std::string_view request_id);
[[nodiscard]] bool has_decision_logs();

// Searches the files of --log: what the instances wrote on standard output.
[[nodiscard]] int explain_from_logs(std::string_view request_id);
[[nodiscard]] bool has_logs();

// Asks the entry instances.
[[nodiscard]] int explain(const target& destination, std::string_view request_id);

} // namespace primrosehead::ctl
