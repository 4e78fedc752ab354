// Checks and converts the messages between an origin and a home. Pure.
#pragma once

#include "line_answer.h"
#include "pooler_home_outcome.h"
#include "pooler_state.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class answer_record;
class home_reply;
class home_request;
class position;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

// Returns what is wrong with a request; empty if it may be run.
[[nodiscard]] std::string_view find_home_request_error(const pb::home_request& request);

void write_position(const log_position& position, pb::position& record);
[[nodiscard]] log_position read_position(const pb::position& record);

void write_answer(const line_answer& answer, pb::answer_record& record);
[[nodiscard]] line_answer read_answer(const pb::answer_record& record);

// How a call ended, from the home's reply. A reply whose class is unknown counts as silent, which
// promises nothing.
struct home_result {
    home_ending ending = home_ending::silent;
    line_answer answer; // if `answered` or `refused_by_server`
    clock::duration retry_after{0};
    std::string reason;
    clock::duration waited{0}; // in the home's queue
};
[[nodiscard]] home_result read_home_reply(const pb::home_reply& reply);

} // namespace primrosehead::pooler
