#include "promotion_model_mixes.h"

namespace primrosehead::testing {

namespace {

constexpr clock::duration mix_run_time{60'000};
constexpr clock::duration mix_quiet_time{40'000};

promotion_model_settings base_settings()
{
    promotion_model_settings base;
    base.run_time = mix_run_time;
    base.quiet_time = mix_quiet_time;
    base.promotion_delay = clock::duration(300);
    base.promotion_delay_max = clock::duration(1'000);
    base.partition_chance = 0.001;
    base.delay_chance = 0.3;
    base.leader_change_chance = 0.002;
    base.obeys_demotions = true;
    return base;
}

} // namespace

std::vector<promotion_model_mix> promotion_model_mixes()
{
    std::vector<promotion_model_mix> mixes(10, {"", base_settings()});
    mixes[0].name = "demotions";
    mixes[0].settings.partition_chance = 0.003;
    mixes[0].settings.replica_partition_chance = 0.001;
    mixes[0].settings.crash_chance = 0.0003;
    mixes[0].settings.demoted_restart_leads_chance = 0.5;

    mixes[1].name = "members";
    mixes[1].settings.replica_partition_chance = 0.0005;
    mixes[1].settings.crash_chance = 0.0002;
    mixes[1].settings.birth_chance = 0.5;
    mixes[1].settings.rename_chance = 0.3;
    mixes[1].settings.leave_chance = 0.0004;
    mixes[1].settings.join_chance = 0.0002;

    mixes[2].name = "empty restarts";
    mixes[2].settings.replica_partition_chance = 0.0005;
    mixes[2].settings.crash_chance = 0.0004;
    mixes[2].settings.birth_chance = 0.5;
    mixes[2].settings.empty_restart_chance = 0.5;

    mixes[3].name = "frozen leaders";
    mixes[3].settings.partition_chance = 0.002;
    mixes[3].settings.freeze_chance = 0.05;

    mixes[4].name = "restarts after answers";
    mixes[4].settings.crash_chance = 0.0002;
    mixes[4].settings.second_crash_chance = 0.0002;
    mixes[4].settings.order_restart_chance = 0.05;
    mixes[4].settings.birth_chance = 0.5;

    mixes[5].name = "everything";
    mixes[5].settings.replica_partition_chance = 0.0005;
    mixes[5].settings.crash_chance = 0.0002;
    mixes[5].settings.second_crash_chance = 0.0001;
    mixes[5].settings.birth_chance = 0.5;
    mixes[5].settings.empty_restart_chance = 0.2;
    mixes[5].settings.rename_chance = 0.2;
    mixes[5].settings.leave_chance = 0.0002;
    mixes[5].settings.join_chance = 0.0001;
    mixes[5].settings.order_restart_chance = 0.02;
    mixes[5].settings.freeze_chance = 0.02;
    mixes[5].settings.outage_chance = 0.0005;
    mixes[5].settings.demoted_restart_leads_chance = 0.5;

    mixes[6].name = "departures, no demotions";
    mixes[6].settings.obeys_demotions = false;
    mixes[6].settings.partition_chance = 0.002;
    mixes[6].settings.replica_partition_chance = 0.002;
    mixes[6].settings.delay_chance = 0.4;
    mixes[6].settings.leader_change_chance = 0.003;
    mixes[6].settings.leave_chance = 0.0004;
    mixes[6].settings.join_chance = 0.0002;

    mixes[7].name = "empty restarts, no demotions";
    mixes[7].settings = mixes[6].settings;
    mixes[7].settings.leave_chance = 0;
    mixes[7].settings.join_chance = 0;
    mixes[7].settings.crash_chance = 0.0005;
    mixes[7].settings.birth_chance = 0.5;
    mixes[7].settings.empty_restart_chance = 0.5;

    mixes[8].name = "restarts of demoted primaries";
    mixes[8].settings.partition_chance = 0.003;
    mixes[8].settings.replica_partition_chance = 0.001;
    mixes[8].settings.crash_chance = 0.002;
    mixes[8].settings.demoted_restart_leads_chance = 1;

    mixes[9].name = "instances cut off from control";
    mixes[9].settings.partition_chance = 0.002;
    mixes[9].settings.replica_partition_chance = 0.002;
    mixes[9].settings.crash_chance = 0.0005;
    mixes[9].settings.second_crash_chance = 0.0002;
    mixes[9].settings.join_chance = 0.0002;
    mixes[9].settings.order_restart_chance = 0.1;
    mixes[9].settings.instance_partition_chance = 0.003;
    return mixes;
}

promotion_model_settings settings_of(const promotion_model_mix& mix, std::uint64_t seed)
{
    promotion_model_settings settings = mix.settings;
    settings.seed = seed;
    return settings;
}

} // namespace primrosehead::testing
