// Cache of replies to operator requests, which makes retries idempotent.
#pragma once

#include "primrosehead.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead {

// Holds the replies to the last config::max_request_records requests, oldest first.
class state_requests {
  public:
    // Returns the cached record of a request, or null if there is none.
    [[nodiscard]] const pb::request_record* find(std::string_view request_id) const;

    // Adds a record and evicts the oldest ones in excess of the bound.
    void insert(pb::request_record record);

    // Calls `visit` with each record, oldest first.
    template <class Visitor>
    void for_each(Visitor&& visit) const
    {
        for (const std::string& request_id : order_) {
            visit(records_.at(request_id));
        }
    }

  private:
    std::map<std::string, pb::request_record, std::less<>> records_;
    std::deque<std::string> order_;
};

// Returns the hash of a command without its request id.
[[nodiscard]] std::uint64_t body_hash(const pb::command& command);

} // namespace primrosehead
