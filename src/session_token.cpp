#include "base64.h"
#include "session_codec.h"

#include <primrosehead/config.h>
#include <primrosehead/session.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace primrosehead {

namespace {

constexpr std::string_view token_version = "v1.";

std::string signature(std::string_view text, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), size};
}

// Compares in a time that does not depend on where the two differ.
bool equal_secrets(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

error refused_token(std::string_view why)
{
    error made;
    made.kind = error_kind::bad_token;
    made.message = why;
    made.remedy = "Send the token of the last answer unchanged, or none to begin a new session.";
    return made;
}

// True when `signed_text` carries the signature that `encoded` stands for.
bool is_signed(std::string_view signed_text, std::string_view encoded, std::string_view secret)
{
    const auto given = from_base64url(encoded);
    return given.has_value() && equal_secrets(*given, signature(signed_text, secret));
}

} // namespace

result<session> session::open(std::string_view token, std::string_view secret)
{
    if (token.size() > config::max_token_bytes) {
        return refused_token("The session token is too long.");
    }
    const std::size_t end = token.rfind('.');
    if (!token.starts_with(token_version) || end < token_version.size()) {
        return refused_token("The session token is malformed.");
    }
    const std::string_view signed_text = token.substr(0, end);
    if (!is_signed(signed_text, token.substr(end + 1), secret)) {
        return refused_token("The session token was not made by this system.");
    }
    const auto bytes = from_base64url(signed_text.substr(token_version.size()));
    if (!bytes) {
        return refused_token("The session token is malformed.");
    }
    result<session_positions> positions = decode_positions(*bytes);
    if (!ok(positions)) {
        return failure(positions);
    }
    session opened;
    opened.positions_ = std::move(value(positions));
    return opened;
}

log_position session::seen(const database_name& database) const
{
    const auto found = positions_.find(database);
    return found == positions_.end() ? log_position{} : found->second;
}

status session::advance(const database_name& database, log_position position)
{
    const auto found = positions_.find(database);
    if (found != positions_.end() && position <= found->second) {
        return {};
    }
    if (found == positions_.end() && position == log_position{}) {
        return {};
    }
    session_positions next = positions_;
    next[database] = position;
    if (next.size() > config::max_session_databases ||
        token_size(encoded_size(next)) > config::max_token_bytes) {
        return refused_token("The session has seen too many databases.");
    }
    positions_ = std::move(next);
    return {};
}

std::string session::seal(std::string_view secret) const
{
    std::string token(token_version);
    token += to_base64url(encode_positions(positions_));
    const std::string signed_text = token;
    token += '.';
    token += to_base64url(signature(signed_text, secret));
    return token;
}

} // namespace primrosehead
