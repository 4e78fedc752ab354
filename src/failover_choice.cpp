#include "failover_choice.h"

#include <algorithm>
#include <cstdint>

namespace primrosehead::failover {

log_position kept_part(log_position received, std::span<const term_boundary> starts)
{
    log_position kept = received;
    for (const term_boundary& start : starts) {
        if (start.term > received.term) {
            kept.index = std::min(kept.index, start.index);
        }
    }
    return kept;
}

namespace {

// Kept parts of logs of known terms are prefixes of one history, so that their indexes compare.
// A term that the history doesn't know yet goes before every known one.
log_position rank_of(log_position received, std::span<const term_boundary> starts)
{
    const std::uint64_t last_term = starts.empty() ? 0 : starts.back().term;
    return {std::max(received.term, last_term), kept_part(received, starts).index};
}

bool has_nothing_to_drop(const candidate& member, std::span<const term_boundary> starts)
{
    return kept_part(member.received, starts) == member.received;
}

} // namespace

const candidate& choose(std::span<const candidate> candidates,
                        std::span<const term_boundary> starts)
{
    const auto is_better = [starts](const candidate& left, const candidate& right) {
        const log_position left_rank = rank_of(left.received, starts);
        const log_position right_rank = rank_of(right.received, starts);
        if (left_rank != right_rank) {
            return left_rank > right_rank;
        }
        const bool left_is_whole = has_nothing_to_drop(left, starts);
        if (left_is_whole != has_nothing_to_drop(right, starts)) {
            return left_is_whole;
        }
        if (left.leaving != right.leaving) {
            return right.leaving;
        }
        if (left.was_primary != right.was_primary) {
            return right.was_primary;
        }
        return left.server < right.server;
    };
    return *std::ranges::min_element(candidates, is_better);
}

} // namespace primrosehead::failover
