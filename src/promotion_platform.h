// Interface to the platform that performs promotions; platform/ has the implementations.
#pragma once

#include "promotion_planner.h"

#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace primrosehead::promotion {

struct promotion_request {
    std::string group;
    std::string server;
    std::string holder;       // the instance that made the decision
    std::uint64_t number = 0; // decision number; the platform refuses lower ones
};

class platform {
  public:
    virtual ~platform() = default;

    // `request` must outlive the returned operation. A missing or late answer is `unknown`.
    [[nodiscard]] virtual boost::asio::awaitable<promotion_outcome>
    promote(const promotion_request& request, clock::time_point deadline) = 0;
};

} // namespace primrosehead::promotion
