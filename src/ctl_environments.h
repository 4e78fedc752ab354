// The primrosectl commands on environment documents: check, trial, promote, diff, show.
#pragma once

#include "ctl_target.h"

namespace primrosehead::ctl {

[[nodiscard]] int check_document(std::string_view path);
[[nodiscard]] int store_trial(const target& destination, std::string_view name,
                              std::string_view path);
[[nodiscard]] int promote(const target& destination, std::string_view name);
[[nodiscard]] int diff(const target& destination, std::string_view name);
[[nodiscard]] int show(const target& destination, std::string_view name);

} // namespace primrosehead::ctl
