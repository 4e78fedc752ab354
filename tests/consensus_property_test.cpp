// Random faults over the consensus core: hundreds of seeds, more with PRIMROSEHEAD_SEEDS=N.
#include "consensus_schedule.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

using primrosehead::testing::run_schedule;
using primrosehead::testing::schedule_options;
using primrosehead::testing::schedule_outcome;

namespace {

constexpr std::uint64_t default_seeds = 200;

std::uint64_t seeds()
{
    const char* chosen = std::getenv("PRIMROSEHEAD_SEEDS");
    return chosen == nullptr ? default_seeds : std::strtoull(chosen, nullptr, 10);
}

} // namespace

TEST_CASE("consensus property: no promise breaks under random faults, and the cell recovers")
{
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        schedule_options options;
        options.seed = seed;
        const schedule_outcome outcome = run_schedule(options);
        CAPTURE(seed);
        CHECK(outcome.violations.empty());
        CHECK(outcome.stop_reasons.empty());
        CHECK(outcome.whole_at_end);
        committed += outcome.committed;
    }
    CHECK(committed > seeds() * 50);
}

TEST_CASE("consensus property: lost disks at any moment may stop the cell but break no promise")
{
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        schedule_options options;
        options.seed = 1'000'000 + seed;
        options.lose_any_disk = true;
        const schedule_outcome outcome = run_schedule(options);
        CAPTURE(seed);
        CHECK(outcome.violations.empty());
        CHECK(outcome.stop_reasons.empty());
    }
}
