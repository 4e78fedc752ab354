#include "keys_digest.h"

#include <primrosehead/keys.h>
#include <primrosehead/state_view.h>

#include <openssl/crypto.h>

namespace primrosehead {

namespace {

error unauthenticated_error(std::string_view text, std::string_view remedy)
{
    error failure;
    failure.kind = error_kind::unauthenticated;
    failure.message = text;
    failure.remedy = remedy;
    return failure;
}

bool matches_secret(const pb::key_record& key, std::string_view secret)
{
    const std::string digest = key_digest(key.salt(), secret);
    return digest.size() == key.digest().size() &&
           CRYPTO_memcmp(digest.data(), key.digest().data(), digest.size()) == 0;
}

} // namespace

key_table key_table::make(const state_view& state, bool check_withdrawn)
{
    key_table table;
    table.check_withdrawn_ = check_withdrawn;
    for (const pb::key_record* key : state.keys()) {
        table.keys_.emplace(key->key_id(), *key);
    }
    return table;
}

result<organisation_name> key_table::verify(std::string_view text) const
{
    if (text.empty()) {
        return unauthenticated_error("This route requires a key.",
                                     "Send the header Authorization: Bearer KEY.");
    }
    const auto parts = split_key(text);
    if (!parts) {
        return unauthenticated_error("The key is malformed.", "Send the key as it was issued.");
    }
    const auto found = keys_.find(std::string(parts->key_id));
    if (found == keys_.end() || !matches_secret(found->second, parts->secret)) {
        return unauthenticated_error(
            "The key is unknown to this instance.",
            "Send the key as it was issued; a new key becomes valid within seconds.");
    }
    if (check_withdrawn_ && found->second.withdrawn()) {
        return unauthenticated_error("The key was withdrawn.", "Ask the operators for a new key.");
    }
    return organisation_name(found->second.organisation());
}

} // namespace primrosehead
