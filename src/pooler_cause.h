// Why an instance answered a statement itself instead of passing on a server's answer.
#pragma once

#include "line_answer.h"

#include <string>
#include <string_view>

namespace primrosehead::pooler {

// An error answer that this instance makes, under one of the dialect's codes.
[[nodiscard]] line_answer make_error_answer(answer_cause cause, std::string_view code,
                                            std::string text);

// As logs and metrics name it ("no_primary").
[[nodiscard]] std::string_view to_string(answer_cause cause) noexcept;

} // namespace primrosehead::pooler
