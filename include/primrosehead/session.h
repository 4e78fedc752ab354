// The session token: what a caller has seen, database group by group.
//
// A token is `v1.` + base64url(positions) + `.` + base64url(HMAC-SHA-256). It moves forward on
// writes and on reads, and any instance of the cell can read it.
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
    // An empty session: it has seen nothing.
    session() = default;

    // Reads a token; `error_kind::bad_token` for one that was not made with `secret`.
    [[nodiscard]] static result<session> from_token(std::string_view token, std::string_view secret);

    // What this session has seen of `database`; {0, 0} when nothing.
    [[nodiscard]] log_position position_of(const database_name& database) const;

    // Moves forward to `position`; a lower one changes nothing.
    // `error_kind::bad_token` when the session would pass config::max_session_databases.
    [[nodiscard]] status advance(const database_name& database, log_position position);

    [[nodiscard]] std::string to_token(std::string_view secret) const;

  private:
    std::map<database_name, log_position> positions_;
};

} // namespace primrosehead
