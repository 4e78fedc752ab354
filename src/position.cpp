#include <primrosehead/position.h>

namespace primrosehead {

standing standing_of(log_position seen, std::span<const term_begin> terms) noexcept
{
    if (seen.index == 0) {
        return standing::kept;
    }
    bool heard_of = false;
    for (const term_begin& term : terms) {
        heard_of = heard_of || term.term >= seen.term;
        if (term.term > seen.term && seen.index > term.index) {
            return standing::lost;
        }
    }
    return heard_of ? standing::kept : standing::unknown;
}

} // namespace primrosehead
