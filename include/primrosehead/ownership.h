// Assigns each backend server to the entry instance that holds its connections, by rendezvous
// hashing over the live instances of the server's failure domain (Thaler and Ravishankar, 1998). A
// change of the instances or servers moves the fewest assignments.
#pragma once

#include <primrosehead/names.h>

#include <span>
#include <vector>

namespace primrosehead {

// Returns all `instances` in order of preference: the first is the owner, and the next takes over
// when the owner leaves.
[[nodiscard]] std::vector<instance_name> ranked_owners(const server_name& server,
                                                       std::span<const instance_name> instances);

} // namespace primrosehead
