#include "seal.h"

#include "base64.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace primrosehead {

namespace {

std::string compute_mac(std::string_view text, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), size};
}

// Compares in constant time for equal lengths.
bool equal_secrets(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::string seal(std::string_view prefix, std::string_view bytes, std::string_view secret)
{
    std::string text(prefix);
    text += to_base64url(bytes);
    const std::string mac = compute_mac(text, secret);
    text += '.';
    text += to_base64url(mac);
    return text;
}

std::optional<std::string> unseal(std::string_view prefix, std::string_view text,
                                  std::string_view secret)
{
    const std::size_t end = text.rfind('.');
    if (end == std::string_view::npos || end < prefix.size() || !text.starts_with(prefix)) {
        return std::nullopt;
    }
    const std::string_view payload = text.substr(0, end);
    const auto mac = from_base64url(text.substr(end + 1));
    if (!mac || !equal_secrets(*mac, compute_mac(payload, secret))) {
        return std::nullopt;
    }
    return from_base64url(payload.substr(prefix.size()));
}

} // namespace primrosehead
