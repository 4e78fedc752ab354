// Selects the cell instance that the leader removes from the membership. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/consensus.h>

#include <span>
#include <string>

namespace primrosehead::cell {

// Returns a member that has been silent for too long, or an empty string if there is none, so that
// an instance that was replaced no longer counts towards the quorum. At least three live voters
// remain. A removed instance that returns asks to join again.
[[nodiscard]] std::string member_to_remove(const pb::membership& members,
                                           std::span<const consensus::core::progress> progress,
                                           const std::string& self);

} // namespace primrosehead::cell
