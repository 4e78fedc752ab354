// Which cell instance the leader removes from the membership. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/consensus.h>

#include <span>
#include <string>

namespace primrosehead::cell {

// A voter that has been silent for long, so that one that was replaced doesn't count for quorums
// any more; empty when there is none. At least three voters stay that answer. An instance that
// comes back later asks to join again.
[[nodiscard]] std::string member_to_remove(const pb::membership& members,
                                           std::span<const consensus::core::progress> progress,
                                           const std::string& self);

} // namespace primrosehead::cell
