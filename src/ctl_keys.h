// The primrosectl commands on callers' keys: issue, withdraw.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

[[nodiscard]] int issue_key(const target& destination, std::string_view organisation);
[[nodiscard]] int withdraw_key(const target& destination, std::string_view key_id);

} // namespace primrosehead::ctl
