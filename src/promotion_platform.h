// How a platform carries out promotions. Each platform has its own calls; see platform/.
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
    std::string holder;       // the instance that decides
    std::uint64_t number = 0; // of the decision: the platform refuses lower ones
};

class platform {
  public:
    virtual ~platform() = default;

    // `request` lives until the answer is there.
    [[nodiscard]] virtual boost::asio::awaitable<promotion_outcome>
    promote(const promotion_request& request, clock::time_point deadline) = 0;
};

} // namespace primrosehead::promotion
