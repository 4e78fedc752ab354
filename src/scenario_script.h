// The scenario language: one step per line; `#` starts a comment. docs/notes/fleet.md lists the
// steps.
#pragma once

#include "scenario_world.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::scenario {

struct script_step {
    std::uint32_t line = 0;
    std::vector<std::string> words;
};

struct script {
    std::vector<script_step> steps;
    std::vector<std::string> required_safeguards; // names; the scenario must fail without each
};

// Splits the text of a scenario into steps. A malformed `without` line gives
// `error_kind::bad_request` with the line number.
[[nodiscard]] result<script> parse_script(std::string_view text);

struct outcome {
    std::vector<std::string> failures; // expectations not met and unknown steps
    std::vector<std::string> breaches; // violated guarantees
};

// Runs all steps of a scenario in order.
[[nodiscard]] outcome run_script(const script& steps, std::uint64_t seed,
                                 const safeguards& enabled);

} // namespace primrosehead::scenario
