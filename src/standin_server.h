// The stand-in of a backend server. Serves docs/BACKEND.md over HTTP, with a control port to inject
// faults.
#pragma once

#include "standin_settings.h"

#include <primrosehead/error.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace primrosehead::standin {

// Not thread-safe: runs on the executor's single thread.
class server {
  public:
    [[nodiscard]] static result<std::unique_ptr<server>>
    start(const boost::asio::any_io_executor& executor, const server_settings& settings);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] std::uint16_t control_port() const noexcept; // 0 without a control port

    // Announces that the server is leaving and stops accepting connections. `is_idle` returns true
    // once no request is in progress.
    void drain();
    [[nodiscard]] bool is_idle() const noexcept;

  private:
    struct implementation;
    explicit server(std::shared_ptr<implementation> body);
    std::shared_ptr<implementation> body_;
};

} // namespace primrosehead::standin
