#include "decision_log_ring.h"

#include <algorithm>
#include <utility>

namespace primrosehead {

decision_ring::decision_ring(std::size_t capacity) : capacity_(std::max<std::size_t>(capacity, 1))
{
}

void decision_ring::push(decision made)
{
    by_request_[made.request].push_back(next_);
    if (next_ == places_.size()) {
        places_.push_back(std::move(made));
    }
    else {
        forget(next_);
        places_[next_] = std::move(made);
    }
    next_ = (next_ + 1) % capacity_;
}

void decision_ring::forget(std::size_t place)
{
    const auto found = by_request_.find(places_[place].request);
    std::vector<std::size_t>& held = found->second;
    held.erase(held.begin()); // the oldest of its request
    if (held.empty()) {
        by_request_.erase(found);
    }
}

std::vector<decision> decision_ring::find(std::string_view request) const
{
    std::vector<decision> made;
    const auto found = by_request_.find(std::string(request));
    if (found == by_request_.end()) {
        return made;
    }
    for (const std::size_t place : found->second) {
        made.push_back(places_[place]);
    }
    return made;
}

} // namespace primrosehead
