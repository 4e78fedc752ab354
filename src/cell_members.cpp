#include "cell_members.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// Longer than the outages that instances come back from by themselves.
constexpr clock::duration removed_after{8'000};
constexpr clock::duration answers_within{1'000};
constexpr std::ptrdiff_t least_live_voters = 3; // so that one more may fail

} // namespace

std::string member_to_remove(const pb::membership& members,
                             std::span<const consensus::core::progress> progress,
                             const std::string& self)
{
    const auto& all = members.members();
    const auto member_named = [&](const std::string& instance) {
        return std::find_if(all.begin(), all.end(),
                            [&](const auto& member) { return member.instance() == instance; });
    };
    const auto is_live_voter = [&](const consensus::core::progress& each) {
        const auto member = member_named(each.instance);
        return member != all.end() && member->voter() && each.silent_for <= answers_within;
    };
    const auto own = member_named(self);
    const std::ptrdiff_t live = std::count_if(progress.begin(), progress.end(), is_live_voter) +
                                (own != all.end() && own->voter() ? 1 : 0);
    const auto silent = std::find_if(progress.begin(), progress.end(), [&](const auto& each) {
        return each.silent_for > removed_after && member_named(each.instance) != all.end();
    });
    return silent != progress.end() && live >= least_live_voters ? silent->instance : std::string();
}

} // namespace primrosehead::cell
