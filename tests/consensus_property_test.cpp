// Random faults over the consensus core: hundreds of seeds, more with PRIMROSEHEAD_SEEDS=N.
#include "consensus_schedule.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

using primrosehead::testing::run_schedule;
using primrosehead::testing::schedule_options;
using primrosehead::testing::schedule_result;

namespace {

constexpr std::uint64_t default_seed_count = 200;

std::uint64_t seed_count()
{
    const char* variable = std::getenv("PRIMROSEHEAD_SEEDS");
    return variable == nullptr ? default_seed_count : std::strtoull(variable, nullptr, 10);
}

} // namespace

TEST_CASE("consensus property: no promise breaks under random faults, and the cell recovers")
{
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        schedule_options options;
        options.seed = seed;
        const schedule_result outcome = run_schedule(options);
        CAPTURE(seed);
        CHECK(outcome.violations.empty());
        CHECK(outcome.stop_reasons.empty());
        CHECK(outcome.recovered_at_end);
        committed += outcome.committed;
    }
    CHECK(committed > seed_count() * 50);
}

TEST_CASE("consensus property: lost disks at any moment may stop the cell but break no promise")
{
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        schedule_options options;
        options.seed = 1'000'000 + seed;
        options.lose_any_disk = true;
        const schedule_result outcome = run_schedule(options);
        CAPTURE(seed);
        CHECK(outcome.violations.empty());
        CHECK(outcome.stop_reasons.empty());
    }
}
