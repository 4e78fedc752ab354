// Commands on the cell: status, drain, members.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

[[nodiscard]] int print_cell_status(const target& destination);
[[nodiscard]] int drain(const target& destination, std::string_view instance);
[[nodiscard]] int add_member(const target& destination, arguments member_arguments);
[[nodiscard]] int remove_member(const target& destination, std::string_view instance);

// The bus endpoints of an entry instance, or of all when `instance` is empty: --entry, or what the
// leader's status names.
[[nodiscard]] std::vector<std::string> entry_endpoints(const target& destination,
                                                       std::string_view instance);

} // namespace primrosehead::ctl
