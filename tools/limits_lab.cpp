// primrose-limits-lab: measures how often an organisation is refused though within its rate and
// burst, leased limits against a static even split, in the model of limits_model.h.
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

ABSL_FLAG(std::uint32_t, seeds, 10, "Seeds a case");
ABSL_FLAG(double, rate, 200, "Rate of the contract, requests a second");
ABSL_FLAG(double, burst, 100, "Burst of the contract, requests");
ABSL_FLAG(double, load, 0.6, "Mean load as a share of the rate");
ABSL_FLAG(double, floor_share, 0.2, "Part of the contract that is split evenly");
ABSL_FLAG(std::uint32_t, instances, 9, "Entry instances");
ABSL_FLAG(std::int64_t, seconds, 60, "Simulated time of a run, seconds");
ABSL_FLAG(std::int64_t, wait_ms, 15, "Wait for the answer to a heartbeat before a refusal, ms");
ABSL_FLAG(std::int64_t, one_way_ms, 1, "Delay of a link, ms");

namespace {

using namespace primrosehead;
using namespace primrosehead::limits;

constexpr clock::time_point model_start{clock::duration(100'000)};
constexpr clock::duration warm_up{2'000};

enum class workload { steady, lessons, uneven };

struct experiment {
    std::string_view name;
    workload load = workload::steady;
    bool restarts = false;
    bool leader_changes = false;
};

constexpr std::array experiments{
    experiment{"steady", workload::steady, false, false},
    experiment{"lessons", workload::lessons, false, false},
    experiment{"uneven", workload::uneven, false, false},
    experiment{"uneven+lessons+restart", workload::lessons, true, false},
    experiment{"leader_changes", workload::lessons, false, true},
};

// Spreads requests evenly, or one instance gets five times as many as each other.
class balancer {
  public:
    balancer(std::size_t instances, bool is_uneven)
    {
        constexpr double favoured = 5;
        std::vector<double> weights(instances, 1);
        weights.front() = is_uneven ? favoured : 1;
        choice_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    std::size_t operator()(std::mt19937_64& random) { return choice_(random); }

  private:
    std::discrete_distribution<std::size_t> choice_;
};

// Poisson arrivals; in lessons a quarter of the load comes in bursts of half the contract's burst
// within 200 ms, spread by the balancer as well.
std::vector<arrival> make_arrivals(const model_settings& settings, const experiment& what,
                                   double load)
{
    constexpr double milliseconds_per_second = 1'000;
    constexpr double burst_share = 0.25;
    constexpr clock::rep burst_time_ms = 200;
    std::mt19937_64 random(settings.seed * 7'919);
    balancer choose(settings.terms.instances, what.load != workload::steady);
    const bool has_bursts = what.load == workload::lessons;
    const double rate = settings.terms.rate * load;
    const double smooth = rate * (has_bursts ? 1 - burst_share : 1) / milliseconds_per_second;
    const double burst_size = settings.terms.burst / 2;
    const double burst_gap = burst_size / (rate * burst_share) * milliseconds_per_second;
    const auto length = static_cast<double>((settings.length - warm_up).count());
    std::vector<arrival> arrivals;
    const auto add = [&](double offset_ms) {
        const clock::duration offset(static_cast<clock::rep>(offset_ms));
        arrivals.push_back({model_start + warm_up + offset, choose(random)});
    };
    std::exponential_distribution<double> next(smooth);
    for (double at = next(random); at < length; at += next(random)) {
        add(at);
    }
    if (has_bursts) {
        std::exponential_distribution<double> next_burst(1 / burst_gap);
        for (double at = next_burst(random); at < length; at += next_burst(random)) {
            for (int index = 0; index < static_cast<int>(burst_size); ++index) {
                add(at + static_cast<double>(random() % burst_time_ms));
            }
        }
    }
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
    return arrivals;
}

model_settings settings_of(const experiment& what, std::uint64_t seed, bool is_split)
{
    constexpr double restarts_a_millisecond = 1.0 / 60'000;
    constexpr double leader_changes_a_millisecond = 1.0 / 30'000;
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
    settings.restart_chance = what.restarts ? restarts_a_millisecond : 0;
    settings.outage_max = clock::duration(2'000);
    settings.leader_change_chance = what.leader_changes ? leader_changes_a_millisecond : 0;
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

totals run_case(const experiment& what, bool is_split)
{
    totals sum;
    for (std::uint64_t seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        const model_settings settings = settings_of(what, seed, is_split);
        const model_result one =
            run_model(settings, make_arrivals(settings, what, absl::GetFlag(FLAGS_load)));
        sum.offered += one.offered;
        sum.admitted += one.admitted;
        sum.refused += one.refused;
        sum.wrongly_refused += one.wrongly_refused;
        sum.over_contract += one.over_contract;
        sum.admitted_after_wait += one.admitted_after_wait;
        sum.heartbeats += one.heartbeats;
        sum.breaches += one.breach ? 1 : 0;
    }
    return sum;
}

void print_case(const experiment& what, bool is_split)
{
    constexpr double percent = 100;
    const totals sum = run_case(what, is_split);
    const double offered = std::max(1.0, static_cast<double>(sum.offered));
    const double instance_seconds = static_cast<double>(absl::GetFlag(FLAGS_seconds)) *
                                    absl::GetFlag(FLAGS_instances) * absl::GetFlag(FLAGS_seeds);
    std::printf("%-24.*s %-7s offered %8llu  wrongly refused %7.4f %%  refused %7.4f %%  "
                "beyond contract %7.4f %%  waited %6.3f %%  heartbeats/s/instance %5.1f  "
                "breaches %u\n",
                static_cast<int>(what.name.size()), what.name.data(), is_split ? "split" : "leased",
                static_cast<unsigned long long>(sum.offered),
                percent * static_cast<double>(sum.wrongly_refused) / offered,
                percent * static_cast<double>(sum.refused) / offered,
                percent * static_cast<double>(sum.over_contract) / offered,
                percent * static_cast<double>(sum.admitted_after_wait) / offered,
                static_cast<double>(sum.heartbeats) / instance_seconds, sum.breaches);
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage("Measures wrongful refusals of leased and evenly split limits.");
    absl::ParseCommandLine(argument_count, arguments);
    for (const experiment& what : experiments) {
        print_case(what, false);
        print_case(what, true);
    }
    return 0;
}
