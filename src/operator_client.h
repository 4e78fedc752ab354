// Operators' requests over the bus to control and entry instances.
#pragma once

#include "operator_exchange.h"

#include <primrosehead/bus.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>
#include <primrosehead/settings.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace primrosehead {

// What became of one request.
struct operator_outcome {
    exchange_state state = exchange_state::unknown;
    pb::operator_reply reply; // of the settling instance, or the last one heard
};

class operator_client {
  public:
    [[nodiscard]] static result<operator_client>
    open(cell_name cell, const std::optional<bus_key_settings>& key, exchange_timing timing);

    // Sends `request` to the endpoints until one settles it or the limit passes.
    [[nodiscard]] operator_outcome execute(std::span<const std::string> endpoints,
                                           const pb::operator_request& request);

  private:
    operator_client(cell_name cell, std::unique_ptr<bus> bus_connection, exchange_timing timing);
    [[nodiscard]] pb::envelope make_envelope(const pb::operator_request& request);

    cell_name cell_;
    std::unique_ptr<bus> bus_connection_;
    exchange_timing timing_;
    std::uint64_t correlation_ = 0;
};

} // namespace primrosehead
