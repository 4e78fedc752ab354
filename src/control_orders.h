// Sends the orders of the control leader to backend servers (docs/BACKEND.md). Uses a separate
// thread so that an unresponsive server never blocks the control instance.
#pragma once

#include <primrosehead/fleet.h>

#include <memory>
#include <string>
#include <vector>

namespace primrosehead {

struct order_answer;

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
