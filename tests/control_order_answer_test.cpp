#include "control_order_answer.h"

#include <doctest/doctest.h>

#include <string_view>

using namespace primrosehead;

namespace {

order_answer read(order_kind kind, unsigned status, std::string_view body)
{
    order_answer answer;
    answer.kind = kind;
    answer.server = "a-1";
    answer.term = 5;
    read_order_answer(status, body, answer);
    return answer;
}

} // namespace

TEST_CASE("control orders: the answer to each order is read")
{
    const order_answer fenced = read(
        order_kind::fence, 200, R"({"server":"a-1","term":5,"received":{"term":4,"index":9}})");
    CHECK(fenced.accepted);
    CHECK(fenced.received == log_position{4, 9});
    const order_answer promoted =
        read(order_kind::promote, 200, R"({"server":"a-1","term":5,"index":10})");
    CHECK(promoted.accepted);
    CHECK(promoted.start_index == 10);
    CHECK(read(order_kind::follow, 200, R"({"server":"a-1","term":5})").accepted);
    const order_answer refused =
        read(order_kind::fence, 409, R"({"kind":"wrong_term","ran":"no","term":7})");
    CHECK(!refused.accepted);
    CHECK(refused.seen_term == 7);
}

// Guards against a fence without a position, which would count as a server with an empty log, and
// against answers of another server or to another order.
TEST_CASE("control orders: an answer that does not name its server, term and position is none")
{
    for (const std::string_view body :
         {R"({"server":"a-1","term":5})", R"({"server":"a-1","term":5,"received":{"term":4}})",
          R"({"server":"a-1","term":5,"received":{"index":9}})",
          R"({"server":"a-1","term":5,"received":{"term":4,"index":"9"}})",
          R"({"server":"a-1","term":4,"received":{"term":4,"index":9}})",
          R"({"server":"b-1","term":5,"received":{"term":4,"index":9}})",
          R"({"server":"a-1","received":{"term":4,"index":9}})", R"({"term":5})",
          R"({"server":"a-1","term":5,"received":{"term":4,"ind)", ""}) {
        CAPTURE(body);
        CHECK(!read(order_kind::fence, 200, body).accepted);
    }
    CHECK(!read(order_kind::promote, 200, R"({"server":"a-1","term":5})").accepted);
    CHECK(!read(order_kind::promote, 200, R"({"server":"b-1","term":5,"index":10})").accepted);
    CHECK(!read(order_kind::follow, 200, R"({"server":"a-1","term":4})").accepted);
    CHECK(!read(order_kind::follow, 200, "{}").accepted);
}

TEST_CASE("control orders: only a refused term tells the term of a server")
{
    CHECK(read(order_kind::fence, 500, R"({"kind":"internal","term":7})").seen_term == 0);
    CHECK(read(order_kind::fence, 409, R"({"kind":"wrong_term"})").seen_term == 0);
    CHECK(read(order_kind::promote, 503, R"({"kind":"overloaded","term":9})").seen_term == 0);
}
