// Reading of command lines through Abseil flags. Abseil's own parser ends the process with code 1
// and knows no dashes within a flag's name.
#pragma once

#include <primrosehead/error.h>

#include <span>
#include <string_view>
#include <vector>

namespace primrosehead {

// Sets the flags (`--name=value`, `--name value`, `--name`) and leaves the rest in `rest`.
// `error_kind::bad_request` names a flag that is unknown or has a bad value.
[[nodiscard]] status parse_flags(std::span<const std::string_view> all,
                                 std::vector<std::string_view>& rest);

} // namespace primrosehead
