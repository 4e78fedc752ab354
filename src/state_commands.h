// What each command changes in the records, and its answer.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/state_switches.h>

namespace primrosehead {

class state_records;

// Applies one command. A refused one changes nothing.
[[nodiscard]] pb::operator_reply apply_command(state_records& records, const pb::command& command,
                                               const state_switches& switches);

} // namespace primrosehead
