#include <primrosehead/position.h>

namespace primrosehead {

position_status classify_position(log_position position,
                                  std::span<const term_boundary> terms) noexcept
{
    if (position.index == 0) {
        return position_status::retained;
    }
    bool is_known = false;
    for (const term_boundary& term : terms) {
        is_known = is_known || term.term >= position.term;
        if (term.term > position.term && position.index > term.index) {
            return position_status::lost;
        }
    }
    return is_known ? position_status::retained : position_status::unknown;
}

} // namespace primrosehead
