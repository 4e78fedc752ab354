// Base64 with the URL-safe alphabet and without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

[[nodiscard]] std::string to_base64url(std::string_view bytes);

// Returns nothing when `text` is not valid base64.
[[nodiscard]] std::optional<std::string> from_base64url(std::string_view text);

} // namespace primrosehead
