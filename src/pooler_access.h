// Checks callers' rights against the newest document and this instance's confirmation of it.
#pragma once

#include "line_answer.h"

#include <optional>

namespace primrosehead::pooler {

struct caller;
struct context;
struct operation;

// Returns the refusal if the caller may not use its database at this instance now.
[[nodiscard]] std::optional<line_answer> check_access(const context& ctx, const caller& from);

// Checks the same for an operation that has begun, and that its organisation still holds the
// caller's key. To be called where a statement goes out: what held when the operation began, or
// before a wait, may have been withdrawn.
[[nodiscard]] std::optional<line_answer> check_right(const context& ctx, const operation& op);

} // namespace primrosehead::pooler
