// Replies to operator requests.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <string_view>

namespace primrosehead {

[[nodiscard]] pb::operator_reply accepted_reply(std::uint64_t version);

// Returns a reply that carries an error. `version` is the current version reported on a conflict.
[[nodiscard]] pb::operator_reply rejected_reply(const error& cause, std::uint64_t version = 0);
[[nodiscard]] pb::operator_reply rejected_reply(error_kind kind, std::string_view message,
                                                std::string_view remedy, std::uint64_t version = 0);

// Convert between an error and its message.
[[nodiscard]] pb::request_error to_request_error(const error& failure);
[[nodiscard]] error to_error(const pb::request_error& message);

} // namespace primrosehead
