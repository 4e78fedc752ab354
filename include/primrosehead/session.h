// The session token: the log positions that a caller has observed, one per database.
//
// A token is `v1.` + base64url(positions) + `.` + base64url(HMAC-SHA-256). Reads and writes advance
// its positions, and every instance of the cell can verify it.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <map>
#include <string>
#include <string_view>

namespace primrosehead {

class session {
  public:
    // Creates a session without positions.
    session() = default;

    // Verifies and decodes a token. Fails with `error_kind::bad_token` if it is malformed or was
    // not signed with `secret`.
    [[nodiscard]] static result<session> from_token(std::string_view token,
                                                    std::string_view secret);

    // Returns the latest observed position of `database`, or {0, 0} if there is none.
    [[nodiscard]] log_position position_of(const database_name& database) const;

    // Advances the position of `database`; a lower `position` is ignored. Fails with
    // `error_kind::bad_token` if the session would exceed config::max_session_databases or its
    // token config::max_token_bytes.
    [[nodiscard]] status advance(const database_name& database, log_position position);

    [[nodiscard]] std::string to_token(std::string_view secret) const;

  private:
    std::map<database_name, log_position> positions_;
};

} // namespace primrosehead
