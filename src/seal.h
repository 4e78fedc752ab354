// Sealed texts: bytes that callers carry and can't change, such as session tokens.
//
// PREFIX + base64url(bytes) + "." + base64url(HMAC-SHA-256 over what stands before the dot).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

[[nodiscard]] std::string seal(std::string_view prefix, std::string_view bytes,
                               std::string_view secret);

// The sealed bytes; nothing when `text` was not made by `seal` with this prefix and secret.
[[nodiscard]] std::optional<std::string> unseal(std::string_view prefix, std::string_view text,
                                                std::string_view secret);

} // namespace primrosehead
