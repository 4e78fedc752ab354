// The scenario language: one step a line, `#` begins a comment. docs/notes/fleet.md lists the
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
    std::vector<std::string> required_safeguards; // mechanisms whose absence has to be seen
};

// Splits a scenario's text; `error_kind::bad_request` names the line.
[[nodiscard]] result<script> parse_script(std::string_view text);

struct outcome {
    std::vector<std::string> failures; // expectations that were not met, and steps not understood
    std::vector<std::string> breaches; // promises broken
};

// Runs a scenario from its first step to its last.
[[nodiscard]] outcome run_script(const script& steps, std::uint64_t seed,
                                 const safeguards& enabled);

} // namespace primrosehead::scenario
