#include "base64.h"
#include "keys_digest.h"

#include <primrosehead/keys.h>

#include <absl/strings/escaping.h>
#include <openssl/rand.h>

namespace primrosehead {

namespace {

constexpr std::size_t key_id_bytes = 8;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t salt_bytes = 16;

result<std::string> random_string(std::size_t size, const random_source& random)
{
    std::string bytes(size, '\0');
    const status filled = random({reinterpret_cast<unsigned char*>(bytes.data()), size});
    if (!ok(filled)) {
        return failure(filled);
    }
    return bytes;
}

} // namespace

status system_random(std::span<unsigned char> bytes)
{
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1) {
        return {};
    }
    return error{error_kind::internal, "The system random number generator failed.",
                 "Check the machine's entropy source.", ran::no, clock::duration::zero()};
}

result<std::string> random_hex(std::size_t size, const random_source& random)
{
    const result<std::string> bytes = random_string(size, random);
    if (!ok(bytes)) {
        return failure(bytes);
    }
    return absl::BytesToHexString(value(bytes));
}

result<issued_key> make_key(const organisation_name& organisation, const random_source& random)
{
    const result<std::string> random_bytes =
        random_string(key_id_bytes + secret_bytes + salt_bytes, random);
    if (!ok(random_bytes)) {
        return failure(random_bytes);
    }
    const std::string& bytes = value(random_bytes);
    const std::string key_id = absl::BytesToHexString(bytes.substr(0, key_id_bytes));
    const std::string secret = to_base64url(bytes.substr(key_id_bytes, secret_bytes));
    const std::string salt = bytes.substr(key_id_bytes + secret_bytes);
    issued_key key;
    key.text = std::string(key_text_prefix) + key_id + "_" + secret;
    key.record.set_key_id(key_id);
    key.record.set_organisation(organisation.text());
    key.record.set_salt(salt);
    key.record.set_digest(key_digest(salt, secret));
    return key;
}

} // namespace primrosehead
