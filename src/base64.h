// Base64url: base64 with the URL-safe alphabet, here without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

[[nodiscard]] std::string to_base64url(std::string_view bytes);

// Returns `std::nullopt` when `text` is not valid base64url.
[[nodiscard]] std::optional<std::string> from_base64url(std::string_view text);

} // namespace primrosehead
