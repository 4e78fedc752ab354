#include <primrosehead/position.h>

namespace primrosehead {

position_status classify_position(log_position seen, std::span<const term_boundary> terms) noexcept
{
    if (seen.index == 0) {
        return position_status::retained;
    }
    bool is_known = false;
    for (const term_boundary& term : terms) {
        is_known = is_known || term.term >= seen.term;
        if (term.term > seen.term && seen.index > term.index) {
            return position_status::lost;
        }
    }
    return is_known ? position_status::retained : position_status::unknown;
}

} // namespace primrosehead
