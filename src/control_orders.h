// Orders of the control leader to backend servers (docs/BACKEND.md), sent from a thread of their
// own so that a server that does not answer never holds up the control instance.
#pragma once

#include <primrosehead/fleet.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead {

enum class order_kind { fence, promote, follow };

// What became of one order.
struct order_answer {
    order_kind kind = order_kind::fence;
    std::string database;
    std::string server;
    std::uint64_t term = 0;
    bool accepted = false;
    log_position received;         // of a fenced server
    std::uint64_t start_index = 0; // of a promoted server's term
    std::uint64_t seen_term = 0;   // of a server that refused; 0 when it did not answer
};

class control_orders {
  public:
    explicit control_orders(std::string instance);
    ~control_orders();
    control_orders(const control_orders&) = delete;
    control_orders& operator=(const control_orders&) = delete;

    // `starts`: the group's terms so far.
    void send(const fleet::order_server& order, const pb::group_record& group);
    void send(const fleet::follow_server& order);

    // Answers since the last call.
    [[nodiscard]] std::vector<order_answer> take_answers();

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
