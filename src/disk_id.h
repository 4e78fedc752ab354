// Identifiers of data folders, generated when a folder is initialised.
#pragma once

#include <string>

namespace primrosehead {

// Returns 128 random bits as hexadecimal digits.
[[nodiscard]] std::string random_disk_id();

} // namespace primrosehead
