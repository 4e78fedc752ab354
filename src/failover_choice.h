// Selects the fenced member of a group that becomes its primary. Pure.
#pragma once

#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <span>

namespace primrosehead::failover {

// A member that promised the new term, with the position that it reported in its answer.
struct candidate {
    server_name server;
    log_position received;
    bool is_leaving = false;
    bool was_primary = false;
};

// Returns `received` without the entries that are not in the group's history: those that lie after
// the start of a later term than the one that wrote them.
[[nodiscard]] log_position retained_position(log_position received,
                                             std::span<const term_boundary> term_starts);

// Returns the member with the highest retained position, so that no acknowledged write is lost.
// Ties go to a member with no entries to discard, then to one that is not leaving, then to one
// other than the old primary, then to the lowest name. `candidates` must not be empty.
[[nodiscard]] const candidate& choose_candidate(std::span<const candidate> candidates,
                                                std::span<const term_boundary> term_starts);

} // namespace primrosehead::failover
