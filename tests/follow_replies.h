// Replies of control to a pooler instance, for tests.
#pragma once

#include "primrosehead.pb.h"

#include <cstdint>
#include <string_view>

namespace primrosehead::testing {

// A reply of the leader of term 1 to a request sent now. Document 1 is the newest one.
[[nodiscard]] pb::follow_reply make_follow_reply(std::uint64_t sequence,
                                                 std::uint32_t live_instances = 1);

// Adds document 1 and a complete directory under revision 1.
void add_first_state(pb::follow_reply& reply);

// Adds a server of group "g" with two slots.
pb::server_announcement& add_server(pb::follow_reply& reply, std::string_view name,
                                    std::string_view address,
                                    std::string_view failure_domain = "zone");

} // namespace primrosehead::testing
