// primrose-routing-bench: measures routing decisions in one process: the share of reads that each
// freshness rule sends to replicas, and the cost of a decision for growing numbers of servers and
// organisations.
//
// The share of replica reads comes from a simulated group with a fixed seed and is the same in
// every run. Costs are compared as ratios within one run.
#include <primrosehead/fair_queue.h>
#include <primrosehead/routing.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

using namespace primrosehead;
using routing::freshness;

namespace {

constexpr int simulated_ms = 60'000;
constexpr int report_interval_ms = 100;
constexpr int report_delay_ms = 60; // from a server through the control leader
constexpr unsigned seed = 11;

struct load {
    int lag_ms = 50;            // replication lag
    int writes_per_second = 20; // commits of the group
    int think_ms = 100;         // upper bound on the time between a session's write and its read
};

struct tally {
    int servable = 0;      // reads that a replica could have answered
    int served = 0;        // servable reads that a replica answered
    int lagging_tries = 0; // attempts at a replica whose data was too old
    int reads = 0;
};

// Simulates a primary, two replicas with a fixed lag, and sessions that write and then read.
class simulated_group {
  public:
    simulated_group(const load& conditions, freshness rule)
        : load_(conditions), rule_(rule), random_(seed)
    {
        for (const char* name : {"p", "a", "b"}) {
            server_info info;
            info.name = server_name(name);
            info.failure_domain = failure_domain_name(name);
            info.slots = 3;
            servers_.push_back(info);
        }
        servers_[0].role = server_role::primary;
    }

    tally run()
    {
        for (now_ = 1; now_ <= simulated_ms; ++now_) {
            if (draw(1'000) < load_.writes_per_second) {
                commits_.push_back(now_);
                reads_.push_back({now_ + draw(load_.think_ms), commits_.size()});
            }
            if (now_ % report_interval_ms == 0) {
                update_reports();
            }
            std::erase_if(reads_, [this](const planned_read& read) {
                if (read.at <= now_) {
                    serve(read);
                }
                return read.at <= now_;
            });
        }
        return tally_;
    }

  private:
    struct planned_read {
        int at = 0;
        std::uint64_t minimum = 0;
    };

    int draw(int upper_bound)
    {
        return static_cast<int>(random_() % static_cast<unsigned>(upper_bound));
    }

    // Returns the applied index of a server with `lag` at `time`, both in milliseconds.
    [[nodiscard]] std::uint64_t index_at(int time, int lag) const
    {
        const auto end = std::ranges::upper_bound(commits_, time - lag);
        return static_cast<std::uint64_t>(end - commits_.begin());
    }

    void update_reports()
    {
        const int reported_at_ms = now_ - report_delay_ms;
        for (server_info& server : servers_) {
            const int lag = server.role == server_role::primary ? 0 : load_.lag_ms;
            const std::uint64_t index = index_at(reported_at_ms, lag);
            server.applied = {1, index};
            server.data_age = clock::duration(lag);
            server.reported_at = from_ms(reported_at_ms);
        }
    }

    void serve(const planned_read& read)
    {
        const std::uint64_t replica_index = index_at(now_, load_.lag_ms);
        const bool is_servable = replica_index >= read.minimum;
        ++tally_.reads;
        tally_.servable += is_servable ? 1 : 0;
        routing::read_request request;
        request.minimum = {1, read.minimum};
        request.local_domain = failure_domain_name("a");
        request.freshness = rule_;
        std::vector<server_name> tried;
        for (;;) {
            request.tried = tried;
            const auto choice =
                routing::choose_read(servers_, request, policy_, from_ms(now_), random_);
            if (!ok(choice) || value(choice).server == servers_[0].name) {
                return;
            }
            if (is_servable) {
                ++tally_.served;
                return;
            }
            ++tally_.lagging_tries;
            tried.push_back(value(choice).server);
        }
    }

    load load_;
    freshness rule_;
    routing::random_engine random_;
    policy_settings policy_;
    std::vector<server_info> servers_;
    std::vector<int> commits_;
    std::vector<planned_read> reads_;
    tally tally_;
    int now_ = 0;
};

const char* freshness_name(freshness rule)
{
    switch (rule) {
    case freshness::known:
        return "known";
    case freshness::expected:
        return "expected";
    case freshness::optimistic:
        return "optimistic";
    }
    return "";
}

double percent(int part, int total)
{
    return total == 0 ? 0 : 100.0 * part / total;
}

void print_shares()
{
    std::puts("rule        lag_ms writes/s think_ms  servable  by_replicas  wasted_tries/read");
    for (const int lag : {50, 200, 500}) {
        for (const int writes : {5, 50}) {
            for (const int think : {200, 2'000}) {
                for (const freshness rule :
                     {freshness::known, freshness::expected, freshness::optimistic}) {
                    const load conditions{lag, writes, think};
                    const tally counted = simulated_group(conditions, rule).run();
                    std::printf("%-11s %6d %8d %8d %8.1f%% %11.1f%% %18.3f\n", freshness_name(rule),
                                lag, writes, think, percent(counted.servable, counted.reads),
                                percent(counted.served, counted.servable),
                                percent(counted.lagging_tries, counted.reads) / 100);
                }
            }
        }
    }
}

// Returns the mean duration of a call in nanoseconds.
template <class Call>
double measure_cost_ns(int calls, const Call& call)
{
    const auto start = std::chrono::steady_clock::now();
    for (int number = 0; number < calls; ++number) {
        call(number);
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / calls;
}

double routing_cost_ns(std::size_t servers, choice_policy rule)
{
    std::vector<server_info> group(servers);
    for (std::size_t at = 0; at < servers; ++at) {
        group[at].name = server_name("server-" + std::to_string(at));
        group[at].failure_domain = failure_domain_name("domain-" + std::to_string(at % 4));
        group[at].role = at == 0 ? server_role::primary : server_role::replica;
    }
    policy_settings policy;
    policy.choice = rule;
    routing::read_request request;
    request.local_domain = failure_domain_name("domain-1");
    routing::random_engine random(seed);
    return measure_cost_ns(200'000, [&](int /*number*/) {
        (void)routing::choose_read(group, request, policy, from_ms(0), random);
    });
}

double queue_cost_ns(int organisations)
{
    fair_queue queue(3);
    std::vector<organisation_name> names;
    std::deque<fair_queue::ticket> running;
    std::vector<fair_queue::ticket> expired;
    for (int number = 0; number < organisations; ++number) {
        names.emplace_back("organisation-" + std::to_string(number));
        (void)queue.enqueue({names.back(), 1, from_ms(1'000'000'000)}, from_ms(0));
    }
    return measure_cost_ns(50'000, [&](int number) {
        const auto& name = names[static_cast<std::size_t>(number) % names.size()];
        (void)queue.enqueue({name, 1, from_ms(1'000'000'000)}, from_ms(0));
        while (const auto next = queue.next(from_ms(0), expired)) {
            running.push_back(*next);
        }
        queue.complete(running.front(), clock::duration(2));
        running.pop_front();
    });
}

void print_costs()
{
    const double base = routing_cost_ns(3, choice_policy::two_choices);
    std::printf("\nrouting, 3 servers, two choices: %.0f ns\n", base);
    std::printf("round robin against two choices: %.2f\n",
                routing_cost_ns(3, choice_policy::round_robin) / base);
    for (const std::size_t servers : {6U, 12U, 24U, 48U}) {
        std::printf("routing, %2zu servers against 3: %.2f\n", servers,
                    routing_cost_ns(servers, choice_policy::two_choices) / base);
    }
    const double queue_base = queue_cost_ns(8);
    std::printf("fair queue, one request, 8 organisations waiting: %.0f ns\n", queue_base);
    for (const int organisations : {32, 128, 400}) {
        std::printf("fair queue, %3d organisations against 8: %.2f\n", organisations,
                    queue_cost_ns(organisations) / queue_base);
    }
}

} // namespace

int main()
{
    print_shares();
    print_costs();
}
