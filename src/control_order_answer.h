// Answers of backend servers to the control leader's orders (docs/BACKEND.md). Pure.
#pragma once

#include <primrosehead/position.h>

#include <cstdint>
#include <string>
#include <string_view>

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

// Reads the reply to the order that `answer` names. The order counts as accepted only if the reply
// names its server and term, and has each field that its kind requires: a missing position is not
// one at the start of the log. A reply that refuses the term tells the server's own.
void read_order_answer(unsigned http_status, std::string_view body, order_answer& answer);

} // namespace primrosehead
