// Callers' keys: `ph_KEYID_SECRET`, of which the replicated state holds a salted digest alone.
//
// The digest is one round of SHA-256 over salt and secret. A slow password hash would add nothing:
// the secret is 256 random bits, which no one can guess at any speed, and it is verified on every
// request.
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

// Fills a span with random bytes.
using random_source = std::function<status(std::span<unsigned char>)>;

// The operating system's random bytes, through OpenSSL.
[[nodiscard]] status system_random(std::span<unsigned char> bytes);

// A new key: `text` is shown to the operator once, `record` goes into the replicated state.
struct issued_key {
    std::string text;
    pb::key_record record;
};

// Makes a key; fails only when the random source does.
[[nodiscard]] result<issued_key> make_key(const organisation_name& organisation,
                                          const random_source& random);

// The keys of one state version, for verification on every request.
class key_table {
  public:
    // No key is valid.
    key_table() = default;

    // `check_withdrawn` is a test switch: without it withdrawn keys stay valid.
    [[nodiscard]] static key_table make(const state_view& state, bool check_withdrawn = true);

    // The organisation whose key `text` is; `error_kind::unauthenticated` when it is missing,
    // malformed, unknown, wrong or withdrawn. Digests are compared in constant time.
    [[nodiscard]] result<organisation_name> verify(std::string_view text) const;

  private:
    std::unordered_map<std::string, pb::key_record> keys_;
    bool check_withdrawn_ = true;
};

} // namespace primrosehead
