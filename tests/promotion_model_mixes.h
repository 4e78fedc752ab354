// Combinations of fault rates for promotion_model.
#pragma once

#include "promotion_model.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

struct promotion_model_mix {
    std::string_view name;
    promotion_model_settings settings;
};

[[nodiscard]] std::vector<promotion_model_mix> promotion_model_mixes();
// Returns the settings of the mix for a run with this seed.
[[nodiscard]] promotion_model_settings settings_of(const promotion_model_mix& mix,
                                                   std::uint64_t seed);

} // namespace primrosehead::testing
