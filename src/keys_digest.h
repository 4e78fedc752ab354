// The parts of a key's text and the digest of its secret.
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

// The parts of "ph_KEYID_SECRET"; nothing when the text is not of this form or too long.
[[nodiscard]] std::optional<key_parts> split_key(std::string_view text) noexcept;

// SHA-256 over `salt` and `secret`.
[[nodiscard]] std::string key_digest(std::string_view salt, std::string_view secret);

} // namespace primrosehead
