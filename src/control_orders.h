// Sends the orders of the control leader to backend servers (docs/BACKEND.md). Uses a separate
// thread so that an unresponsive server never blocks the control instance.
#pragma once

#include <primrosehead/fleet.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead {

enum class order_kind { fence, promote, follow };

// Outcome of one order.
struct order_answer {
    order_kind kind = order_kind::fence;
    std::string database;
    std::string server;
    std::uint64_t term = 0;
    bool accepted = false;
    log_position received;         // last position received by a fenced server
    std::uint64_t start_index = 0; // first index of a promoted server's term
    std::uint64_t seen_term = 0;   // term of the server in its answer; 0 without one
};

class control_orders {
  public:
    explicit control_orders(std::string instance);
    ~control_orders();
    control_orders(const control_orders&) = delete;
    control_orders& operator=(const control_orders&) = delete;

    // `group` supplies the term starts for a promotion.
    void send(const fleet::order_server& order, const pb::group_record& group);
    void send(const fleet::follow_server& order);

    // Returns the outcomes of the orders that ended since the last call.
    [[nodiscard]] std::vector<order_answer> take_answers();

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
