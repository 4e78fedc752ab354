// Logs through spdlog: plain text or JSON lines, each message beginning with the prefix of its part
// ("route: ", "entry: ").
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <string_view>

namespace primrosehead {

// Makes the process's default logger after the settings. `process` stands in every JSON line.
// `error_kind::bad_settings` when the file can't be opened.
[[nodiscard]] status configure_logging(const log_settings& settings, std::string_view process);

} // namespace primrosehead
