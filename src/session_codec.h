// Binary encoding of the positions of a session: for each database the length of its name, the
// name, the term and the index. Lengths and numbers are protobuf varints.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead {

using session_positions = std::map<database_name, log_position>;

// Returns the number of bytes that `encode_positions` returns.
[[nodiscard]] std::size_t encoded_size(const session_positions& positions) noexcept;

[[nodiscard]] std::string encode_positions(const session_positions& positions);

// Fails with `error_kind::bad_token` unless `bytes` encodes at most config::max_session_databases
// positions.
[[nodiscard]] result<session_positions> decode_positions(std::string_view bytes);

// Returns the size in bytes of a token whose encoded positions take `positions_size` bytes.
[[nodiscard]] std::size_t token_size(std::size_t positions_size) noexcept;

} // namespace primrosehead
