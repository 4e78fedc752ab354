// Which fenced member of a group becomes its primary. Pure.
#pragma once

#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <span>

namespace primrosehead::failover {

// A member that promised the new term, with the position that it told then.
struct candidate {
    server_name server;
    log_position received;
    bool is_leaving = false;
    bool was_primary = false;
};

// The part of `received` that is in the group's present history: entries after the start of a later
// term than the one that wrote them are gone.
[[nodiscard]] log_position retained_position(log_position received,
                                             std::span<const term_boundary> term_starts);

// The member with the highest kept position, so that no acknowledged write is lost. Among equals
// one with nothing to drop, then one that is not leaving, then not the old primary, then by name.
// `candidates` isn't empty.
[[nodiscard]] const candidate& choose_candidate(std::span<const candidate> candidates,
                                                std::span<const term_boundary> term_starts);

} // namespace primrosehead::failover
