// Consistency checks of an environment that a JSON schema can't express.
#pragma once

#include <primrosehead/environment.h>
#include <primrosehead/error.h>

namespace primrosehead {

// Returns the first inconsistency as `error_kind::bad_settings` with its JSON path.
[[nodiscard]] status check_environment(const environment& checked_environment);

} // namespace primrosehead
