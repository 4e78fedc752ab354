// HTTP connection to a backend server (docs/BACKEND.md).
#pragma once

#include "gateway_wire.h"

#include <primrosehead/backend.h>
#include <primrosehead/http.h>

#include <memory>
#include <string>

namespace primrosehead {

// Models the concept `backend_connection`. Calls run on the executor that opened it.
class gateway_connection {
  public:
    // Opens a connection. Fails with `error_kind::connection_lost` or `timed_out`, and `ran::no`.
    [[nodiscard]] static boost::asio::awaitable<result<std::unique_ptr<gateway_connection>>>
    open(std::string url, clock::time_point deadline, gateway_wire::id_check check);

    // Sends a request and waits for the reply. `request.transaction` is the server's own
    // identifier of the transaction.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    call(const pb::backend_request& request, clock::time_point deadline);

    // Returns false after a reply was missing, truncated or for another request.
    [[nodiscard]] bool is_usable() const noexcept;

  private:
    gateway_connection(std::unique_ptr<http::client> client, gateway_wire::id_check check);

    std::unique_ptr<http::client> client_;
    gateway_wire::id_check check_;
    bool usable_ = true;
    bool is_new_ = true; // no reply has come yet
};

static_assert(backend_connection<gateway_connection>);

} // namespace primrosehead
