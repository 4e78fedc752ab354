#include "decision_log_ring.h"

#include <algorithm>
#include <utility>

namespace primrosehead {

decision_ring::decision_ring(std::size_t capacity) : capacity_(std::max<std::size_t>(capacity, 1))
{
}

void decision_ring::push(decision entry)
{
    by_request_[entry.request].push_back(next_);
    if (next_ == slots_.size()) {
        slots_.push_back(std::move(entry));
    }
    else {
        remove_from_index(next_);
        slots_[next_] = std::move(entry);
    }
    next_ = (next_ + 1) % capacity_;
}

void decision_ring::remove_from_index(std::size_t slot)
{
    const auto found = by_request_.find(slots_[slot].request);
    std::vector<std::size_t>& slots = found->second;
    slots.erase(slots.begin()); // the oldest one of the request
    if (slots.empty()) {
        by_request_.erase(found);
    }
}

std::vector<decision> decision_ring::find(std::string_view request) const
{
    std::vector<decision> decisions;
    const auto found = by_request_.find(std::string(request));
    if (found == by_request_.end()) {
        return decisions;
    }
    for (const std::size_t slot : found->second) {
        decisions.push_back(slots_[slot]);
    }
    return decisions;
}

} // namespace primrosehead
