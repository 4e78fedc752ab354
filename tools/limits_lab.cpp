// primrose-limits-lab: measures how often an organisation is refused although it is within its rate
// and burst, and compares leased limits with a static even split in the model of limits_model.h.
#include "limits_model.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string_view>
#include <vector>

ABSL_FLAG(std::uint32_t, seeds, 10, "Number of seeds per case");
ABSL_FLAG(double, rate, 200, "Rate of the contract, in requests per second");
ABSL_FLAG(double, burst, 100, "Burst of the contract, in requests");
ABSL_FLAG(double, load, 0.6, "Mean load as a fraction of the rate");
ABSL_FLAG(double, floor_share, 0.2, "Fraction of the contract that is split evenly");
ABSL_FLAG(std::uint32_t, instances, 9, "Number of entry instances");
ABSL_FLAG(std::int64_t, seconds, 60, "Simulated time of each run, in seconds");
ABSL_FLAG(std::int64_t, wait_ms, 15,
          "Time to wait for a heartbeat reply before a refusal, in milliseconds");
ABSL_FLAG(std::int64_t, one_way_ms, 1, "One-way delay of a link, in milliseconds");

namespace {

using namespace primrosehead;
using namespace primrosehead::limits;

constexpr clock::time_point model_start{clock::duration(100'000)};
constexpr clock::duration warm_up{2'000};

enum class workload { steady, uneven_bursts, uneven };

struct experiment {
    std::string_view name;
    workload load = workload::steady;
    bool restarts = false;
    bool leader_changes = false;
};

constexpr std::array experiments{
    experiment{"steady", workload::steady, false, false},
    experiment{"lessons", workload::uneven_bursts, false, false},
    experiment{"uneven", workload::uneven, false, false},
    experiment{"uneven+lessons+restart", workload::uneven_bursts, true, false},
    experiment{"leader_changes", workload::uneven_bursts, false, true},
};

// Distributes requests evenly, or sends one instance five times as many as each of the others.
class balancer {
  public:
    balancer(std::size_t instances, bool is_uneven)
    {
        constexpr double favoured_weight = 5;
        std::vector<double> weights(instances, 1);
        weights.front() = is_uneven ? favoured_weight : 1;
        choice_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    std::size_t operator()(std::mt19937_64& random) { return choice_(random); }

  private:
    std::discrete_distribution<std::size_t> choice_;
};

// Generates Poisson arrivals. With `uneven_bursts`, a quarter of the load arrives in bursts of half
// the contract's burst within 200 ms, which the balancer distributes as well.
std::vector<arrival> make_arrivals(const model_settings& settings, const experiment& scenario,
                                   double load)
{
    constexpr double milliseconds_per_second = 1'000;
    constexpr double burst_share = 0.25;
    constexpr clock::rep burst_duration_ms = 200;
    std::mt19937_64 random(settings.seed * 7'919);
    balancer balance(settings.terms.instances, scenario.load != workload::steady);
    const bool has_bursts = scenario.load == workload::uneven_bursts;
    const double rate = settings.terms.rate * load;
    const double steady_rate_per_ms =
        rate * (has_bursts ? 1 - burst_share : 1) / milliseconds_per_second;
    const double burst_size = settings.terms.burst / 2;
    const double burst_gap_ms = burst_size / (rate * burst_share) * milliseconds_per_second;
    const auto length_ms = static_cast<double>((settings.length - warm_up).count());
    std::vector<arrival> arrivals;
    const auto add_arrival = [&](double offset_ms) {
        const clock::duration offset(static_cast<clock::rep>(offset_ms));
        arrivals.push_back({model_start + warm_up + offset, balance(random)});
    };
    std::exponential_distribution<double> next_gap_ms(steady_rate_per_ms);
    for (double offset_ms = next_gap_ms(random); offset_ms < length_ms;
         offset_ms += next_gap_ms(random)) {
        add_arrival(offset_ms);
    }
    if (has_bursts) {
        std::exponential_distribution<double> next_burst_gap_ms(1 / burst_gap_ms);
        for (double offset_ms = next_burst_gap_ms(random); offset_ms < length_ms;
             offset_ms += next_burst_gap_ms(random)) {
            for (int index = 0; index < static_cast<int>(burst_size); ++index) {
                add_arrival(offset_ms + static_cast<double>(random() % burst_duration_ms));
            }
        }
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    return arrivals;
}

model_settings make_settings(const experiment& scenario, std::uint64_t seed, bool is_split)
{
    constexpr double restarts_per_ms = 1.0 / 60'000;
    constexpr double leader_changes_per_ms = 1.0 / 30'000;
    model_settings settings;
    settings.terms.rate = absl::GetFlag(FLAGS_rate);
    settings.terms.burst = absl::GetFlag(FLAGS_burst);
    settings.terms.floor_share = is_split ? 1.0 : absl::GetFlag(FLAGS_floor_share);
    settings.terms.instances = absl::GetFlag(FLAGS_instances);
    settings.length = clock::duration(absl::GetFlag(FLAGS_seconds) * 1'000) + warm_up;
    settings.link_delay = clock::duration(absl::GetFlag(FLAGS_one_way_ms));
    settings.request_wait =
        is_split ? clock::duration(0) : clock::duration(absl::GetFlag(FLAGS_wait_ms));
    settings.seed = seed;
    settings.restart_chance = scenario.restarts ? restarts_per_ms : 0;
    settings.outage_max = clock::duration(2'000);
    settings.leader_change_chance = scenario.leader_changes ? leader_changes_per_ms : 0;
    return settings;
}

struct totals {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongly_refused = 0;
    std::uint64_t over_contract = 0;
    std::uint64_t admitted_after_wait = 0;
    std::uint64_t heartbeats = 0;
    std::uint32_t breaches = 0;
};

totals run_case(const experiment& scenario, bool is_split)
{
    totals sum;
    for (std::uint64_t seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        const model_settings settings = make_settings(scenario, seed, is_split);
        const model_result result =
            run_model(settings, make_arrivals(settings, scenario, absl::GetFlag(FLAGS_load)));
        sum.offered += result.offered;
        sum.admitted += result.admitted;
        sum.refused += result.refused;
        sum.wrongly_refused += result.wrongly_refused;
        sum.over_contract += result.over_contract;
        sum.admitted_after_wait += result.admitted_after_wait;
        sum.heartbeats += result.heartbeats;
        sum.breaches += result.breach ? 1 : 0;
    }
    return sum;
}

void print_case(const experiment& scenario, bool is_split)
{
    constexpr double percent = 100;
    const totals sum = run_case(scenario, is_split);
    const double offered = std::max(1.0, static_cast<double>(sum.offered));
    const double instance_seconds = static_cast<double>(absl::GetFlag(FLAGS_seconds)) *
                                    absl::GetFlag(FLAGS_instances) * absl::GetFlag(FLAGS_seeds);
    std::printf("%-24.*s %-7s offered %8llu  wrongly refused %7.4f %%  refused %7.4f %%  "
                "beyond contract %7.4f %%  waited %6.3f %%  heartbeats/s/instance %5.1f  "
                "breaches %u\n",
                static_cast<int>(scenario.name.size()), scenario.name.data(),
                is_split ? "split" : "leased", static_cast<unsigned long long>(sum.offered),
                percent * static_cast<double>(sum.wrongly_refused) / offered,
                percent * static_cast<double>(sum.refused) / offered,
                percent * static_cast<double>(sum.over_contract) / offered,
                percent * static_cast<double>(sum.admitted_after_wait) / offered,
                static_cast<double>(sum.heartbeats) / instance_seconds, sum.breaches);
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Measures wrongful refusals with leased and with evenly split limits.");
    absl::ParseCommandLine(argument_count, arguments);
    for (const experiment& scenario : experiments) {
        print_case(scenario, false);
        print_case(scenario, true);
    }
    return 0;
}
