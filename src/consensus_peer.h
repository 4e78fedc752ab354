// Replication state that a leader keeps for one other member.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace primrosehead::pb {
class snapshot_record;
} // namespace primrosehead::pb

namespace primrosehead::consensus {

// At most one message with entries or a snapshot chunk is in flight to a member at a time.
struct peer {
    std::uint64_t match_index = 0; // last entry known to be durable on the member
    std::uint64_t next_index = 1;  // next entry to send
    // Send time of the message in flight.
    std::optional<clock::time_point> sent_at;
    // Send time of the latest message that the member answered.
    std::optional<clock::time_point> acknowledged_sent_at;
    clock::time_point known_since{};                     // when this leader added the member
    std::shared_ptr<const pb::snapshot_record> snapshot; // snapshot being transferred
    std::uint64_t snapshot_offset = 0;                   // bytes of it that the member acknowledged
};

} // namespace primrosehead::consensus
