// Execution of commands on the records of the replicated state.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/state_switches.h>

namespace primrosehead {

class state_records;

// Applies one command and returns its reply. A rejected command changes nothing.
[[nodiscard]] pb::operator_reply apply_command(state_records& records, const pb::command& command,
                                               const state_switches& switches);

} // namespace primrosehead
