// A bounded memory of decisions, with an index by request.
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

    // Keeps a decision in the place of the oldest one when full.
    void push(decision made);

    [[nodiscard]] std::vector<decision> find(std::string_view request) const;

  private:
    void forget(std::size_t place);

    std::vector<decision> places_;
    std::size_t capacity_;
    std::size_t next_ = 0;
    // Places of each request's decisions, oldest first. A request makes few decisions.
    std::unordered_map<std::string, std::vector<std::size_t>> by_request_;
};

} // namespace primrosehead
