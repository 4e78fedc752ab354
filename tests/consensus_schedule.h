// A seeded random schedule of faults over a consensus network.
#pragma once

#include "consensus_network.h"

#include <cstdint>
#include <string>
#include <vector>

namespace primrosehead::testing {

struct schedule_options {
    std::uint64_t seed = 1;
    int rounds = 60;
    // False: a disk is lost only while the cell is whole, so that it must be whole again at the
    // end. True: any disk but that of c1 is lost at any moment.
    bool lose_any_disk = false;
    bool change_members = true;
    consensus::unsafe_switches unsafe;
    disk_faults disk;
    journal_switches journal;
};

struct schedule_result {
    std::vector<std::string> violations;
    std::string stop_reasons; // instances that stopped themselves, with the reason
    std::uint64_t committed = 0;
    bool recovered_at_end = false; // one leader, and every member voter and up to date
};

[[nodiscard]] schedule_result run_schedule(const schedule_options& options);

} // namespace primrosehead::testing
