// primrose-fleet-lab: counts the bytes of heartbeats and their answers, exactly, and the control
// leader's processor time for them, as servers, organisations and instances grow.
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

ABSL_FLAG(std::uint32_t, seconds, 10, "Simulated time of a case, seconds");
ABSL_FLAG(bool, busy, true, "Every organisation is in use at every instance");

namespace {

using namespace primrosehead;

constexpr clock::time_point start{clock::duration(100'000)};
constexpr clock::duration heartbeat_period{100};
constexpr clock::duration tick{10};
constexpr clock::duration warm_up{3'000};
constexpr std::uint32_t servers_a_group = 3;

struct fleet_size {
    std::uint32_t instances = 9;
    std::uint32_t groups = 3;
    std::uint32_t organisations = 8;
};

// Bytes and counts after the warm-up.
struct traffic {
    std::uint64_t heartbeats = 0;
    std::uint64_t heartbeat_bytes = 0;
    std::uint64_t reply_bytes = 0;
    double seconds_of_processor = 0;
};

std::string numbered(std::string_view prefix, std::uint32_t number)
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
        text += numbered("kura-ledger", group);
        text += R"("})";
    }
    text += R"(],"routes":[{"name":"reserve","database":"kura-ledger-0","access":"write"}])";
    text += R"(,"organisations":[)";
    for (std::uint32_t organisation = 0; organisation < size.organisations; ++organisation) {
        text += organisation == 0 ? "" : ",";
        text += R"({"name":")";
        text += numbered("organisation", organisation);
        text += R"(","rate":100,"burst":100})";
    }
    return text + "]}";
}

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// One leader and the heartbeats of all instances; each server is reported by one instance of its
// failure domain in every fourth.
class bench {
  public:
    explicit bench(const fleet_size& size) : size_(size), sequences_(size.instances, 0)
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
            is_counted_ = now >= start + warm_up;
            const double before = processor_seconds();
            act(now);
            if (now.time_since_epoch() % heartbeat_period == clock::duration(0)) {
                beat_all(now);
            }
            counted_.seconds_of_processor += is_counted_ ? processor_seconds() - before : 0;
        }
        return counted_;
    }

  private:
    void act(clock::time_point now)
    {
        for (const fleet::action& action : leader_.advance(state_, now)) {
            if (const auto* what = std::get_if<fleet::propose>(&action)) {
                (void)state_.apply(what->command);
            }
            else if (const auto* order = std::get_if<fleet::order_server>(&action)) {
                obey(*order);
            }
            else if (const auto* follow = std::get_if<fleet::follow_server>(&action)) {
                leader_.on_followed(follow->server, follow->group.term());
            }
        }
    }

    void obey(const fleet::order_server& order)
    {
        if (const auto* fence = std::get_if<failover::fence_server>(&order.order)) {
            leader_.on_fenced(order.database, fence->server.text(), fence->term, {1, 1});
        }
        else if (const auto* promote = std::get_if<failover::promote_server>(&order.order)) {
            leader_.on_promoted(order.database, promote->server.text(), promote->term, 1);
        }
    }

    void beat_all(clock::time_point now)
    {
        ++round_;
        for (std::uint32_t instance = 0; instance < size_.instances; ++instance) {
            const pb::heartbeat beat = make_beat(instance, now);
            const pb::heartbeat_reply reply = leader_.handle_heartbeat(beat, state_, now);
            if (is_counted_) {
                ++counted_.heartbeats;
                counted_.heartbeat_bytes += beat.ByteSizeLong();
                counted_.reply_bytes += reply.ByteSizeLong();
            }
        }
    }

    pb::heartbeat make_beat(std::uint32_t instance, clock::time_point now)
    {
        pb::heartbeat beat;
        beat.set_instance(numbered("entry", instance));
        beat.set_incarnation(1);
        beat.set_answered_sequence(sequences_[instance]);
        beat.set_sequence(++sequences_[instance]);
        beat.set_asked_at_ms(to_ms(now));
        beat.set_state_version(state_.version());
        beat.set_state_digest(state_.digest());
        beat.mutable_self()->set_instance(beat.instance());
        beat.mutable_self()->set_failure_domain("fukuoka");
        beat.mutable_self()->set_endpoint("tcp://10.0.0.1:7401");
        beat.mutable_self()->set_http_url("http://10.0.0.1:8080");
        for (std::uint32_t server = 0; server < size_.groups * servers_a_group; ++server) {
            if (server % size_.instances == instance) {
                *beat.add_servers() = make_report(server);
            }
        }
        const std::uint32_t reported = absl::GetFlag(FLAGS_busy) ? size_.organisations : 0;
        for (std::uint32_t organisation = 0; organisation < reported; ++organisation) {
            pb::allowance_report& report = *beat.add_allowances();
            report.set_organisation(numbered("organisation", organisation));
            report.set_wanted(2'000);
            report.set_held(1'000);
            report.set_used_total(static_cast<std::int64_t>(round_) * 1'000);
            report.set_returned_total(static_cast<std::int64_t>(round_) * 100);
        }
        return beat;
    }

    [[nodiscard]] pb::server_report make_report(std::uint32_t server) const
    {
        const std::string database = numbered("kura-ledger", server / servers_a_group);
        const pb::group_record* group = state_.group(database);
        pb::server_report report;
        report.set_server(numbered(database, server % servers_a_group));
        report.set_database(database);
        report.set_failure_domain("fukuoka");
        report.set_url("http://10.0.0.2:9000");
        const bool leads = group != nullptr && group->primary() == report.server();
        report.set_role(leads ? "primary" : "replica");
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
                            .group_size = servers_a_group,
                            .enabled = {}},
                           start};
    std::vector<std::uint64_t> sequences_;
    std::uint64_t round_ = 0;
    bool is_counted_ = false;
    traffic counted_;
};

void print_case(const fleet_size& size)
{
    constexpr double microseconds_a_second = 1e6;
    constexpr double percent = 100;
    const clock::duration length(absl::GetFlag(FLAGS_seconds) * 1'000);
    const traffic seen = bench(size).run(length);
    const auto heartbeats = static_cast<double>(seen.heartbeats);
    const double seconds = absl::GetFlag(FLAGS_seconds);
    const double instance_bytes =
        static_cast<double>(seen.heartbeat_bytes + seen.reply_bytes) / seconds / size.instances;
    std::printf("%9u %7u %13u  %9.1f %9.1f  %15.0f  %14.1f  %10.2f\n", size.instances,
                size.groups * servers_a_group, size.organisations,
                static_cast<double>(seen.heartbeat_bytes) / heartbeats,
                static_cast<double>(seen.reply_bytes) / heartbeats, instance_bytes,
                seen.seconds_of_processor / heartbeats * microseconds_a_second,
                seen.seconds_of_processor / seconds * percent);
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage("Counts what heartbeats cost as a fleet grows.");
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
