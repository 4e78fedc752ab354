// Which entry instance holds the connections of a backend server: rendezvous hashing over the live
// instances of the server's failure domain, so that instances and servers come and go with the
// least movement (Thaler and Ravishankar, 1998).
#pragma once

#include <primrosehead/names.h>

#include <span>
#include <vector>

namespace primrosehead {

// Candidates in order of preference: the first is the owner, the next takes over when it is gone.
[[nodiscard]] std::vector<instance_name> ranked_owners(const server_name& server,
                                                       std::span<const instance_name> instances);

} // namespace primrosehead
