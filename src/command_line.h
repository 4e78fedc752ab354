// Parses command lines into Abseil flags. Abseil's own parser exits with code 1 on an error and
// does not support dashes in flag names.
#pragma once

#include <primrosehead/error.h>

#include <span>
#include <string_view>
#include <vector>

namespace primrosehead {

// Sets flags given as `--name=value`, `--name value` or `--name`, and appends the other arguments
// to `positional`. Returns `error_kind::bad_request` for an unknown flag or an invalid value.
[[nodiscard]] status parse_flags(std::span<const std::string_view> arguments,
                                 std::vector<std::string_view>& positional);

} // namespace primrosehead
