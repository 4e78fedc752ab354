// Parts of the replies to follow requests that the leader and the relays add alike. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

class reply_pacer;

// Adds a primary's log position with its age. One that is too old for any staleness bound is left
// out.
void add_position(pb::follow_reply& reply, std::string_view group, std::string_view server,
                  log_position position, clock::duration age);

// Adds `newest`, which may be null, if the requester holds an older document. Returns false if it
// has to be sent later.
[[nodiscard]] bool offer_document(reply_pacer& pacer, const pb::follow_request& request,
                                  const pb::published_record* newest, clock::time_point now,
                                  pb::follow_reply& reply);

// Adds changes of the directory since `base_revision` (0: all servers). If they have to be sent
// later, the reply tells when to ask, unless it has a document: then they are requested once that
// has arrived.
void offer_directory(reply_pacer& pacer, const pb::follow_request& request,
                     std::vector<pb::server_announcement> changes, std::uint64_t base_revision,
                     clock::time_point now, pb::follow_reply& reply);

} // namespace primrosehead::cell
