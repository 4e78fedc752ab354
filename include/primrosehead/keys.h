// API keys of the form `ph_KEYID_SECRET`. The replicated state stores only a salted digest of the
// secret.
//
// The digest is one round of SHA-256 over salt and secret. A slow password hash would add no
// security, because 256 random bits cannot be guessed, and every request verifies the secret.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace primrosehead {

class state_view;

// Fills the span with random bytes.
using random_source = std::function<status(std::span<unsigned char>)>;

// Fills `bytes` from OpenSSL's random generator. Fails with `error_kind::internal`.
[[nodiscard]] status system_random(std::span<unsigned char> bytes);

// Returns `size` random bytes as hexadecimal digits. Fails only if the random source fails.
[[nodiscard]] result<std::string> random_hex(std::size_t size, const random_source& random);

// A new key: `text` is shown to the operator once, `record` is stored in the replicated state.
struct issued_key {
    std::string text;
    pb::key_record record;
};

// Creates a key. Fails only if the random source fails.
[[nodiscard]] result<issued_key> make_key(const organisation_name& organisation,
                                          const random_source& random);

// The keys of one version of the state, against which every request is verified.
class key_table {
  public:
    // Creates an empty table, in which no key is valid.
    key_table() = default;

    // `check_withdrawn` is a test switch: false accepts withdrawn keys.
    [[nodiscard]] static key_table make(const state_view& state, bool check_withdrawn = true);

    // Returns the organisation that owns the key `text`. Fails with `error_kind::unauthenticated`
    // if the key is empty, malformed, unknown or withdrawn, or its secret is wrong. Digests are
    // compared in constant time.
    [[nodiscard]] result<organisation_name> verify(std::string_view text) const;

  private:
    std::unordered_map<std::string, pb::key_record> keys_;
    bool check_withdrawn_ = true;
};

} // namespace primrosehead
