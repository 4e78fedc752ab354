#include "seal.h"
#include "session_codec.h"

#include <primrosehead/config.h>
#include <primrosehead/session.h>

namespace primrosehead {

namespace {

constexpr std::string_view token_version = "v1.";

error token_error(std::string_view message)
{
    error rejection;
    rejection.kind = error_kind::bad_token;
    rejection.message = message;
    rejection.remedy =
        "Send the token of the last answer unchanged, or no token to start a new session.";
    return rejection;
}

} // namespace

result<session> session::from_token(std::string_view token, std::string_view secret)
{
    if (token.size() > config::max_token_bytes) {
        return token_error("The session token is too long.");
    }
    const auto bytes = unseal(token_version, token, secret);
    if (!bytes) {
        return token_error("The session token is invalid: its format or signature is wrong.");
    }
    result<session_positions> positions = decode_positions(*bytes);
    if (!ok(positions)) {
        return failure(positions);
    }
    session opened;
    opened.positions_ = std::move(value(positions));
    return opened;
}

log_position session::position_of(const database_name& database) const
{
    const auto it = positions_.find(database);
    return it == positions_.end() ? log_position{} : it->second;
}

status session::advance(const database_name& database, log_position position)
{
    const auto it = positions_.find(database);
    if (it != positions_.end() && position <= it->second) {
        return {};
    }
    if (it == positions_.end() && position == log_position{}) {
        return {};
    }
    session_positions next = positions_;
    next[database] = position;
    if (next.size() > config::max_session_databases ||
        token_size(encoded_size(next)) > config::max_token_bytes) {
        return token_error("The session covers too many databases for its token.");
    }
    positions_ = std::move(next);
    return {};
}

std::string session::to_token(std::string_view secret) const
{
    return primrosehead::seal(token_version, encode_positions(positions_), secret);
}

} // namespace primrosehead
