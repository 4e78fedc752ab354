#include "state_requests.h"

#include <primrosehead/config.h>

#include <utility>
#include <xxhash.h>

namespace primrosehead {

const pb::request_record* state_requests::find(std::string_view request_id) const
{
    const auto found = records_.find(request_id);
    return found == records_.end() ? nullptr : &found->second;
}

void state_requests::insert(pb::request_record record)
{
    std::string request_id = record.request_id();
    const bool is_new = records_.insert_or_assign(request_id, std::move(record)).second;
    if (is_new) {
        order_.push_back(std::move(request_id));
    }
    while (order_.size() > config::max_request_records) {
        records_.erase(order_.front());
        order_.pop_front();
    }
}

std::uint64_t body_hash(const pb::command& command)
{
    pb::command body = command;
    body.clear_request_id();
    const std::string bytes = body.SerializeAsString();
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace primrosehead
