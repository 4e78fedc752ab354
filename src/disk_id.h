// Names of data folders, drawn when a folder is initialised.
#pragma once

#include <string>

namespace primrosehead {

// 128 random bits in hexadecimal digits.
[[nodiscard]] std::string random_disk_id();

} // namespace primrosehead
