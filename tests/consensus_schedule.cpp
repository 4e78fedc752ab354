#include "consensus_schedule.h"

#include <algorithm>

namespace primrosehead::testing {

namespace {

constexpr int max_extra_members = 2;
// A cell that lost all its disks is no longer told from a new one, so one disk always stays.
constexpr std::string_view preserved_disk = "c1";
constexpr clock::duration max_round_duration{400};
constexpr clock::duration recovery_timeout{25'000};
constexpr clock::duration settle_duration{1'000};
constexpr clock::duration recovery_step{100};

// Draws one fault a round.
class schedule {
  public:
    explicit schedule(const schedule_options& options)
        : options_(options), network_(network_options_for(options))
    {
    }

    schedule_result run()
    {
        network_.run_until_leader();
        for (int round = 0; round < options_.rounds; ++round) {
            propose_commands();
            inject_fault();
            network_.run(clock::duration(static_cast<clock::rep>(
                network_.random_below(static_cast<std::uint64_t>(max_round_duration.count())))));
        }
        recover();
        return schedule_result{network_.violations(), network_.stop_reasons(),
                               network_.committed_index(), is_healthy()};
    }

  private:
    static network_options network_options_for(const schedule_options& options)
    {
        network_options chosen;
        chosen.seed = options.seed;
        chosen.members = options.seed % 2 == 0 ? 3 : 5;
        chosen.disks_registered = options.seed % 3 != 0;
        chosen.loss_per_mille = static_cast<int>(options.seed % 4) * 30;
        chosen.duplicate_per_mille = static_cast<int>(options.seed % 5) * 20;
        chosen.delay_max = clock::duration(static_cast<clock::rep>(1 + options.seed % 7 * 8));
        chosen.snapshot_after = 5 + options.seed % 3 * 40;
        chosen.state_bytes = options.seed % 10 == 0 ? 300'000 : 100;
        chosen.unsafe = options.unsafe;
        chosen.disk = options.disk;
        chosen.journal = options.journal;
        return chosen;
    }

    void propose_commands()
    {
        const std::uint64_t count = network_.random_below(6);
        for (std::uint64_t number = 0; number < count; ++number) {
            network_.propose("command " + std::to_string(++command_count_));
        }
    }

    std::string random_name()
    {
        const std::vector<std::string> names = network_.names();
        return names[network_.random_below(names.size())];
    }

    void inject_fault()
    {
        const std::string name = random_name();
        switch (network_.random_below(12)) {
        case 0:
        case 1:
            network_.crash(name);
            break;
        case 2:
        case 3:
            restore_node(name);
            break;
        case 4:
            network_.isolate(name);
            break;
        case 5:
            network_.cut_link(name, random_name());
            break;
        case 6:
            network_.heal_links();
            break;
        case 7:
            pause(name);
            break;
        case 8:
            lose_disk(name);
            break;
        case 9:
            change_members(name);
            break;
        case 10:
            crash_all();
            break;
        default:
            break;
        }
    }

    void pause(const std::string& name)
    {
        if (network_.at(name).is_running()) {
            network_.pause(name);
        }
    }

    void restore_node(const std::string& name)
    {
        if (network_.at(name).is_paused()) {
            network_.resume(name);
        }
        else if (!network_.at(name).is_running()) {
            network_.restart(name);
        }
    }

    void crash_all()
    {
        for (const std::string& name : network_.names()) {
            network_.crash(name);
        }
        for (const std::string& name : network_.names()) {
            network_.restart(name);
        }
    }

    void lose_disk(const std::string& name)
    {
        if (options_.lose_any_disk ? name == preserved_disk : !is_healthy() || member_count() < 3) {
            return;
        }
        network_.lose_disk(name);
        network_.restart(name);
    }

    void change_members(const std::string& name)
    {
        if (!options_.change_members || network_.current_leader().empty() || !is_healthy()) {
            return;
        }
        if (extra_member_count_ < max_extra_members) {
            const std::string new_name = "x" + std::to_string(++extra_member_count_);
            pb::member member;
            member.set_instance(new_name);
            member.set_disk_id(network_.start_nonmember(new_name));
            static_cast<void>(network_.add_member(member));
            return;
        }
        if (member_count() > 3) {
            static_cast<void>(network_.remove_member(name));
        }
    }

    [[nodiscard]] int member_count()
    {
        const std::string leader = network_.current_leader();
        return leader.empty() ? 0 : network_.at(leader).core().members().members_size();
    }

    // One leader, and every member is a voter that runs and has applied everything.
    [[nodiscard]] bool is_healthy()
    {
        const std::string leader = network_.current_leader();
        if (leader.empty()) {
            return false;
        }
        const pb::membership& members = network_.at(leader).core().members();
        return std::all_of(members.members().begin(), members.members().end(),
                           [&](const pb::member& member) {
                               const node& one = network_.at(member.instance());
                               return member.voter() && one.is_running() &&
                                      one.options().core.disk_id == member.disk_id() &&
                                      one.applied_index() == network_.committed_index();
                           });
    }

    void recover()
    {
        network_.heal_links();
        for (const std::string& name : network_.names()) {
            restore_node(name);
        }
        for (clock::duration waited{0}; waited < recovery_timeout && !is_healthy();
             waited += recovery_step) {
            network_.run(recovery_step);
        }
        network_.run(settle_duration);
    }

    schedule_options options_;
    consensus_network network_;
    int command_count_ = 0;
    int extra_member_count_ = 0;
};

} // namespace

schedule_result run_schedule(const schedule_options& options)
{
    return schedule(options).run();
}

} // namespace primrosehead::testing
