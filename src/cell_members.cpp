#include "cell_members.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Longer than the outages from which instances recover on their own.
constexpr clock::duration removal_timeout{8'000};
// An even number of voters tolerates no more failures than one voter less. A silent one that was
// replaced must be gone before its successor counts as recovered.
constexpr clock::duration even_removal_timeout{2'500};
constexpr clock::duration liveness_timeout{1'000};
constexpr std::ptrdiff_t min_live_voters = 3; // tolerates one more failure

} // namespace

std::string member_to_remove(const pb::membership& members,
                             std::span<const consensus::core::progress> progress,
                             const std::string& self)
{
    const auto& all = members.members();
    const auto find_member = [&](const std::string& instance) {
        return std::find_if(all.begin(), all.end(),
                            [&](const auto& member) { return member.instance() == instance; });
    };
    const auto is_live_voter = [&](const consensus::core::progress& each) {
        const auto member = find_member(each.instance);
        return member != all.end() && member->voter() &&
               each.time_since_contact <= liveness_timeout;
    };
    const auto own = find_member(self);
    const std::ptrdiff_t live = std::count_if(progress.begin(), progress.end(), is_live_voter) +
                                (own != all.end() && own->voter() ? 1 : 0);
    const std::ptrdiff_t voters =
        std::count_if(all.begin(), all.end(), [](const auto& member) { return member.voter(); });
    const auto silent = std::find_if(progress.begin(), progress.end(), [&](const auto& each) {
        const auto member = find_member(each.instance);
        const bool is_surplus = member != all.end() && member->voter() && voters % 2 == 0;
        return member != all.end() &&
               each.time_since_contact > (is_surplus ? even_removal_timeout : removal_timeout);
    });
    return silent != progress.end() && live >= min_live_voters ? silent->instance : std::string();
}

} // namespace primrosehead::cell
