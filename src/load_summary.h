// Formats the measures of a run's history and its totals as JSON.
#pragma once

#include "history_measures.h"
#include "load_run.h"

#include <string>

namespace primrosehead::load {

[[nodiscard]] std::string summary_json(const history::measures& measured, const run_totals& totals,
                                       const history::recorded_history& recorded);

} // namespace primrosehead::load
