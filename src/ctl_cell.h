// The primrosectl commands on a cell: status, drain, members.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

[[nodiscard]] int print_cell_status(const target& destination);
[[nodiscard]] int drain(const target& destination, std::string_view instance);
[[nodiscard]] int add_member(const target& destination, arguments member_arguments);
[[nodiscard]] int remove_member(const target& destination, std::string_view instance);

// Returns the bus endpoints given by --entry or else, from the leader's status, those of the named
// entry instance, or of all if `instance` is empty.
[[nodiscard]] std::vector<std::string> entry_endpoints(const target& destination,
                                                       std::string_view instance);

} // namespace primrosehead::ctl
