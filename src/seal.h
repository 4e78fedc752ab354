// Signed tokens, such as session tokens: data that clients hold but cannot forge or modify. The
// data is not encrypted.
//
// Format: PREFIX + base64url(bytes) + "." + base64url(HMAC-SHA-256 of the text before the dot).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

[[nodiscard]] std::string seal(std::string_view prefix, std::string_view bytes,
                               std::string_view secret);

// Returns the bytes of a token, or nothing if `text` was not made by `seal` with this prefix and
// secret.
[[nodiscard]] std::optional<std::string> unseal(std::string_view prefix, std::string_view text,
                                                std::string_view secret);

} // namespace primrosehead
