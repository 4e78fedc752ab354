// A leader's view of one other member.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace primrosehead::pb {
class snapshot_record;
} // namespace primrosehead::pb

namespace primrosehead::consensus {

// At most one message with entries or a snapshot chunk is unanswered at a time.
struct peer {
    std::uint64_t match_index = 0;                         // durable there through this entry
    std::uint64_t next_index = 1;                          // first entry to send
    std::optional<clock::time_point> sent_at;              // of the unanswered message
    std::optional<clock::time_point> acknowledged_sent_at; // latest asking time that it echoed
    clock::time_point known_since{};                       // by this leader
    std::shared_ptr<const pb::snapshot_record> snapshot;   // under transfer
    std::uint64_t snapshot_offset = 0;                     // bytes of it that were answered
};

} // namespace primrosehead::consensus
