// primrose-fleet-lab: measures the exact sizes of heartbeats and their replies, and the CPU time
// that the control leader spends on them, for growing numbers of servers, organisations and
// instances.
#include "primrosehead.pb.h"

#include <primrosehead/fleet.h>
#include <primrosehead/state.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::uint32_t, seconds, 10, "Simulated time of each case, in seconds");
ABSL_FLAG(bool, busy, true, "Every instance reports an allowance for every organisation");

namespace {

using namespace primrosehead;

constexpr clock::time_point start{clock::duration(100'000)};
constexpr clock::duration heartbeat_period{100};
constexpr clock::duration tick{10};
constexpr clock::duration warm_up{3'000};
constexpr std::uint32_t servers_per_group = 3;

struct fleet_size {
    std::uint32_t instances = 9;
    std::uint32_t groups = 3;
    std::uint32_t organisations = 8;
};

// Totals after the warm-up.
struct traffic {
    std::uint64_t heartbeats = 0;
    std::uint64_t heartbeat_bytes = 0;
    std::uint64_t reply_bytes = 0;
    double cpu_seconds = 0;
};

std::string numbered_name(std::string_view prefix, std::uint32_t number)
{
    std::string text(prefix);
    text += '-';
    text += std::to_string(number);
    return text;
}

std::string make_document(const fleet_size& size)
{
    std::string text = R"({"databases":[)";
    for (std::uint32_t group = 0; group < size.groups; ++group) {
        text += group == 0 ? "" : ",";
        text += R"({"name":")";
        text += numbered_name("kura-ledger", group);
        text += R"("})";
    }
    text += R"(],"routes":[{"name":"reserve","database":"kura-ledger-0","access":"write"}])";
    text += R"(,"organisations":[)";
    for (std::uint32_t organisation = 0; organisation < size.organisations; ++organisation) {
        text += organisation == 0 ? "" : ",";
        text += R"({"name":")";
        text += numbered_name("organisation", organisation);
        text += R"(","rate":100,"burst":100})";
    }
    return text + "]}";
}

double cpu_time_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Simulates one control leader and the heartbeats of all instances. Each server is reported by one
// instance.
class simulated_fleet {
  public:
    explicit simulated_fleet(const fleet_size& size) : size_(size), sequences_(size.instances, 0)
    {
        pb::command trial;
        trial.mutable_trial()->set_name("hakata");
        trial.mutable_trial()->set_document(make_document(size));
        (void)state_.apply(trial);
        pb::command promote;
        promote.mutable_promote()->set_name("hakata");
        promote.mutable_promote()->set_base_version(1);
        (void)state_.apply(promote);
    }

    traffic run(clock::duration length)
    {
        for (clock::time_point now = start; now < start + warm_up + length; now += tick) {
            is_warmed_up_ = now >= start + warm_up;
            const double before = cpu_time_seconds();
            advance_leader(now);
            if (now.time_since_epoch() % heartbeat_period == clock::duration(0)) {
                send_heartbeats(now);
            }
            traffic_.cpu_seconds += is_warmed_up_ ? cpu_time_seconds() - before : 0;
        }
        return traffic_;
    }

  private:
    void advance_leader(clock::time_point now)
    {
        for (const fleet::action& action : leader_.advance(state_, now)) {
            if (const auto* proposal = std::get_if<fleet::propose>(&action)) {
                (void)state_.apply(proposal->command);
            }
            else if (const auto* order = std::get_if<fleet::order_server>(&action)) {
                acknowledge_order(*order);
            }
            else if (const auto* follow = std::get_if<fleet::follow_server>(&action)) {
                leader_.on_followed(follow->server, follow->group.term());
            }
        }
    }

    void acknowledge_order(const fleet::order_server& order)
    {
        if (const auto* fence = std::get_if<failover::fence_server>(&order.order)) {
            leader_.on_fenced(order.database, fence->server.text(), fence->term, {1, 1});
        }
        else if (const auto* promote = std::get_if<failover::promote_server>(&order.order)) {
            leader_.on_promoted(order.database, promote->server.text(), promote->term, 1);
        }
    }

    void send_heartbeats(clock::time_point now)
    {
        ++round_;
        for (std::uint32_t instance = 0; instance < size_.instances; ++instance) {
            const pb::heartbeat heartbeat = make_heartbeat(instance, now);
            const pb::heartbeat_reply reply = leader_.handle_heartbeat(heartbeat, state_, now);
            if (is_warmed_up_) {
                ++traffic_.heartbeats;
                traffic_.heartbeat_bytes += heartbeat.ByteSizeLong();
                traffic_.reply_bytes += reply.ByteSizeLong();
            }
        }
    }

    pb::heartbeat make_heartbeat(std::uint32_t instance, clock::time_point now)
    {
        pb::heartbeat heartbeat;
        heartbeat.set_instance(numbered_name("entry", instance));
        heartbeat.set_incarnation(1);
        heartbeat.set_answered_sequence(sequences_[instance]);
        heartbeat.set_sequence(++sequences_[instance]);
        heartbeat.set_asked_at_ms(to_ms(now));
        heartbeat.set_state_version(state_.version());
        heartbeat.set_state_digest(state_.digest());
        heartbeat.mutable_self()->set_instance(heartbeat.instance());
        heartbeat.mutable_self()->set_failure_domain("fukuoka");
        heartbeat.mutable_self()->set_endpoint("tcp://10.0.0.1:7401");
        heartbeat.mutable_self()->set_http_url("http://10.0.0.1:8080");
        for (std::uint32_t server = 0; server < size_.groups * servers_per_group; ++server) {
            if (server % size_.instances == instance) {
                *heartbeat.add_servers() = make_report(server);
            }
        }
        const std::uint32_t reported = absl::GetFlag(FLAGS_busy) ? size_.organisations : 0;
        for (std::uint32_t organisation = 0; organisation < reported; ++organisation) {
            pb::allowance_report& report = *heartbeat.add_allowances();
            report.set_organisation(numbered_name("organisation", organisation));
            report.set_wanted(2'000);
            report.set_held(1'000);
            report.set_used_total(static_cast<std::int64_t>(round_) * 1'000);
            report.set_returned_total(static_cast<std::int64_t>(round_) * 100);
        }
        return heartbeat;
    }

    [[nodiscard]] pb::server_report make_report(std::uint32_t server) const
    {
        const std::string database = numbered_name("kura-ledger", server / servers_per_group);
        const pb::group_record* group = state_.group(database);
        pb::server_report report;
        report.set_server(numbered_name(database, server % servers_per_group));
        report.set_database(database);
        report.set_failure_domain("fukuoka");
        report.set_url("http://10.0.0.2:9000");
        const bool is_primary = group != nullptr && group->primary() == report.server();
        report.set_role(is_primary ? "primary" : "replica");
        report.mutable_applied()->set_term(1);
        report.mutable_applied()->set_index(round_ * 10);
        *report.mutable_received() = report.applied();
        report.set_data_age_ms(50);
        report.set_slots(3);
        report.set_connection_limit(20);
        report.set_term(group == nullptr ? 0 : group->term());
        report.set_age_ms(40);
        return report;
    }

    fleet_size size_;
    state_machine state_{cell_name("hakata")};
    fleet::service leader_{{.cell = cell_name("hakata"),
                            .environment = "hakata",
                            .write_lease = clock::duration(500),
                            .grant = clock::duration(1'000),
                            .instance_timeout = clock::duration(2'000),
                            .group_size = servers_per_group,
                            .enabled = {}},
                           start};
    std::vector<std::uint64_t> sequences_;
    std::uint64_t round_ = 0;
    bool is_warmed_up_ = false;
    traffic traffic_;
};

void print_case(const fleet_size& size)
{
    constexpr double microseconds_per_second = 1e6;
    constexpr double percent = 100;
    const clock::duration length(absl::GetFlag(FLAGS_seconds) * 1'000);
    const traffic measured = simulated_fleet(size).run(length);
    const auto heartbeats = static_cast<double>(measured.heartbeats);
    const double seconds = absl::GetFlag(FLAGS_seconds);
    const double instance_bytes =
        static_cast<double>(measured.heartbeat_bytes + measured.reply_bytes) / seconds /
        size.instances;
    std::printf("%9u %7u %13u  %9.1f %9.1f  %15.0f  %14.1f  %10.2f\n", size.instances,
                size.groups * servers_per_group, size.organisations,
                static_cast<double>(measured.heartbeat_bytes) / heartbeats,
                static_cast<double>(measured.reply_bytes) / heartbeats, instance_bytes,
                measured.cpu_seconds / heartbeats * microseconds_per_second,
                measured.cpu_seconds / seconds * percent);
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage("Measures the cost of heartbeats as a fleet grows.");
    absl::ParseCommandLine(argument_count, arguments);
    std::puts("instances servers organisations  beat,B  reply,B  B/s an instance  "
              "leader us/beat  leader %core");
    constexpr std::array sizes{fleet_size{9, 3, 8},   fleet_size{18, 3, 8},  fleet_size{36, 3, 8},
                               fleet_size{9, 12, 8},  fleet_size{9, 48, 8},  fleet_size{9, 3, 32},
                               fleet_size{9, 3, 128}, fleet_size{64, 24, 32}};
    for (const fleet_size& size : sizes) {
        print_case(size);
    }
    return 0;
}
