// JSON encoding of the requests and replies of docs/BACKEND.md. Pure.
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

// Whether a reply must repeat the request's id. `unchecked` is for tests only.
enum class id_check { by_id, unchecked };

// A decoded reply.
struct decoded_reply {
    result<pb::backend_reply> outcome;
    bool is_connection_reusable = false; // false if it must be closed
};

// Encodes a request. Fails with `error_kind::bad_request` when the statement is not valid JSON.
[[nodiscard]] result<encoded_request> encode(const pb::backend_request& request,
                                             clock::duration time_left);

// Decodes a reply. One that is truncated, lacks a field or has another id is invalid: whether the
// request ran is then unknown. Only the first reply on a connection can refuse the connection, and
// the request with it.
[[nodiscard]] decoded_reply decode(const pb::backend_request& request, unsigned status,
                                   std::string_view body, id_check check, bool is_first_reply);

} // namespace primrosehead::gateway_wire
