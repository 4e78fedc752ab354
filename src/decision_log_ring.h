// A ring buffer of decisions, indexed by request.
#pragma once

#include <primrosehead/decision_log.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrosehead {

class decision_ring {
  public:
    explicit decision_ring(std::size_t capacity);

    // Adds a decision; replaces the oldest one when the ring is full.
    void push(decision entry);

    [[nodiscard]] std::vector<decision> find(std::string_view request) const;

  private:
    void remove_from_index(std::size_t slot);

    std::vector<decision> slots_;
    std::size_t capacity_;
    std::size_t next_ = 0;
    // Slots of each request's decisions, oldest first. A request has few of them, so erasing from
    // the front of a vector is cheap.
    std::unordered_map<std::string, std::vector<std::size_t>> by_request_;
};

} // namespace primrosehead
