#include "seal.h"
#include "session_codec.h"

#include <primrosehead/config.h>
#include <primrosehead/session.h>

namespace primrosehead {

namespace {

constexpr std::string_view token_version = "v1.";

error refused_token(std::string_view why)
{
    error made;
    made.kind = error_kind::bad_token;
    made.message = why;
    made.remedy = "Send the token of the last answer unchanged, or none to begin a new session.";
    return made;
}

} // namespace

result<session> session::from_token(std::string_view token, std::string_view secret)
{
    if (token.size() > config::max_token_bytes) {
        return refused_token("The session token is too long.");
    }
    const auto bytes = unseal(token_version, token, secret);
    if (!bytes) {
        return refused_token("The session token was not made by this system.");
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

std::string session::to_token(std::string_view secret) const
{
    return primrosehead::seal(token_version, encode_positions(positions_), secret);
}

} // namespace primrosehead
