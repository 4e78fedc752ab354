// The first answers to operators' requests, so that a resend gets the same one.
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

// Keeps the answers of the last config::max_request_records requests, oldest first.
class state_requests {
  public:
    // The remembered record of a request; null when there is none.
    [[nodiscard]] const pb::request_record* find(std::string_view request_id) const;

    // Remembers a record and forgets the oldest one above the bound.
    void insert(pb::request_record record);

    // Calls `use` with each record, oldest first.
    template <class Use>
    void for_each(Use&& use) const
    {
        for (const std::string& request_id : order_) {
            use(records_.at(request_id));
        }
    }

  private:
    std::map<std::string, pb::request_record, std::less<>> records_;
    std::deque<std::string> order_;
};

// Hash of a command without its request id.
[[nodiscard]] std::uint64_t body_hash(const pb::command& command);

} // namespace primrosehead
