// The binary form of a session's positions: for each database its name's length, its name, term and
// index, lengths and numbers as protobuf varints.
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

// Bytes that `encode_positions` would give.
[[nodiscard]] std::size_t encoded_size(const session_positions& positions) noexcept;

[[nodiscard]] std::string encode_positions(const session_positions& positions);

// `error_kind::bad_token` when `bytes` is not the binary form of at most
// config::max_session_databases positions.
[[nodiscard]] result<session_positions> decode_positions(std::string_view bytes);

// Bytes of a token over positions of `size` bytes.
[[nodiscard]] std::size_t token_size(std::size_t size) noexcept;

} // namespace primrosehead
