// Parsing of key texts and the digest of their secrets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

inline constexpr std::string_view key_text_prefix = "ph_";

struct key_parts {
    std::string_view key_id;
    std::string_view secret;
};

// Splits "ph_KEYID_SECRET". Returns nothing if the text is malformed or longer than
// config::max_key_bytes.
[[nodiscard]] std::optional<key_parts> split_key(std::string_view text) noexcept;

// Returns the SHA-256 digest of `salt` followed by `secret`.
[[nodiscard]] std::string key_digest(std::string_view salt, std::string_view secret);

} // namespace primrosehead
