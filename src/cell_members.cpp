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
    const auto silence_of = [&](const pb::member& member) {
        const auto found = std::find_if(progress.begin(), progress.end(), [&](const auto& each) {
            return each.instance == member.instance();
        });
        const bool is_known = found != progress.end() && found->silent_for;
        return is_known ? *found->silent_for : clock::duration::max();
    };
    const auto& all = members.members();
    const std::ptrdiff_t live = std::count_if(all.begin(), all.end(), [&](const auto& member) {
        return member.voter() &&
               (member.instance() == self || silence_of(member) <= answers_within);
    });
    for (const pb::member& member : members.members()) {
        const clock::duration silence = silence_of(member);
        const bool is_silent = silence != clock::duration::max() && silence > removed_after;
        if (member.instance() != self && is_silent && live >= least_live_voters) {
            return member.instance();
        }
    }
    return {};
}

} // namespace primrosehead::cell
