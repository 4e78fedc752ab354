#include "failover_choice.h"

#include <algorithm>
#include <cstdint>

namespace primrosehead::failover {

log_position retained_position(log_position received, std::span<const term_boundary> term_starts)
{
    log_position kept = received;
    for (const term_boundary& start : term_starts) {
        if (start.term > received.term) {
            kept.index = std::min(kept.index, start.index);
        }
    }
    return kept;
}

namespace {

// Kept parts of logs of known terms are prefixes of one history, so that their indexes compare.
// A term that the history doesn't know yet goes before every known one.
log_position rank_of(log_position received, std::span<const term_boundary> term_starts)
{
    const std::uint64_t last_term = term_starts.empty() ? 0 : term_starts.back().term;
    return {std::max(received.term, last_term), retained_position(received, term_starts).index};
}

bool is_fully_retained(const candidate& member, std::span<const term_boundary> term_starts)
{
    return retained_position(member.received, term_starts) == member.received;
}

} // namespace

const candidate& choose_candidate(std::span<const candidate> candidates,
                                  std::span<const term_boundary> term_starts)
{
    const auto is_better = [term_starts](const candidate& left, const candidate& right) {
        const log_position left_rank = rank_of(left.received, term_starts);
        const log_position right_rank = rank_of(right.received, term_starts);
        if (left_rank != right_rank) {
            return left_rank > right_rank;
        }
        const bool left_is_whole = is_fully_retained(left, term_starts);
        if (left_is_whole != is_fully_retained(right, term_starts)) {
            return left_is_whole;
        }
        if (left.is_leaving != right.is_leaving) {
            return right.is_leaving;
        }
        if (left.was_primary != right.was_primary) {
            return right.was_primary;
        }
        return left.server < right.server;
    };
    return *std::ranges::min_element(candidates, is_better);
}

} // namespace primrosehead::failover
