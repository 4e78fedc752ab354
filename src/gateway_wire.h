// The requests and answers of docs/BACKEND.md as JSON. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <string>
#include <string_view>

namespace primrosehead::gateway_wire {

struct encoded_request {
    std::string target;
    std::string body;
};

// Whether an answer must repeat the request's id. `unchecked` is for tests only.
enum class id_check { by_id, unchecked };

// What an answer turned out to be.
struct decoded_reply {
    result<pb::backend_reply> outcome;
    bool is_complete = false; // else the connection can't be used again
};

// `error_kind::bad_request` when the statement is not JSON.
[[nodiscard]] result<encoded_request> encode(const pb::backend_request& request,
                                             clock::duration time_left);

// Reads an answer. One that is cut, lacks a field or has another id is not whole: whether the
// request ran is then unknown.
[[nodiscard]] decoded_reply decode(const pb::backend_request& request, unsigned status,
                                   std::string_view body, id_check check);

} // namespace primrosehead::gateway_wire
