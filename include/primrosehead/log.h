// Logging through spdlog, as plain text or JSON lines. Each message starts with the prefix of its
// part ("route: ", "entry: ").
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <string_view>

namespace primrosehead {

// Creates the default logger of the process from the settings. `process` is included in each JSON
// line. Returns `error_kind::bad_settings` when the file can't be opened.
[[nodiscard]] status configure_logging(const log_settings& settings, std::string_view process);

} // namespace primrosehead
