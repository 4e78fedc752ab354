#include "keys_digest.h"

#include <primrosehead/config.h>

#include <openssl/sha.h>

#include <array>

namespace primrosehead {

std::optional<key_parts> split_key(std::string_view text) noexcept
{
    if (text.size() > config::max_key_bytes || !text.starts_with(key_text_prefix)) {
        return std::nullopt;
    }
    const std::string_view remainder = text.substr(key_text_prefix.size());
    const std::size_t end = remainder.find('_');
    if (end == std::string_view::npos || end == 0 || end + 1 == remainder.size()) {
        return std::nullopt;
    }
    return key_parts{remainder.substr(0, end), remainder.substr(end + 1)};
}

std::string key_digest(std::string_view salt, std::string_view secret)
{
    std::string salted(salt);
    salted += secret;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(), digest.data());
    return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

} // namespace primrosehead
