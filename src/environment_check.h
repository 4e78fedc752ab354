// Contradictions inside an environment that a schema can't express.
#pragma once

#include <primrosehead/environment.h>
#include <primrosehead/error.h>

namespace primrosehead {

// Finds the first contradiction; `error_kind::bad_settings` names its JSON path.
[[nodiscard]] status check_environment(const environment& subject);

} // namespace primrosehead
