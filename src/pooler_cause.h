// Error answers that an instance generates itself instead of forwarding a server's answer.
#pragma once

#include "line_answer.h"

#include <string>
#include <string_view>

namespace primrosehead::pooler {

// Returns an error answer of this instance with one of the dialect's codes.
[[nodiscard]] line_answer make_error_answer(answer_cause cause, std::string_view code,
                                            std::string text);

// Returns the name used in logs and metrics, such as "no_primary".
[[nodiscard]] std::string_view to_string(answer_cause cause) noexcept;

} // namespace primrosehead::pooler
