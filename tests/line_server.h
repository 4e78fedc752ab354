// A backend server for tests that speaks the session line protocol, keeps what it was sent and
// misbehaves on demand.
#pragma once

#include "line_dialect.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

class line_server {
  public:
    explicit line_server(const boost::asio::any_io_executor& executor);
    ~line_server();
    line_server(const line_server&) = delete;
    line_server& operator=(const line_server&) = delete;

    // IP:PORT.
    [[nodiscard]] std::string address() const;

    // Query texts in the order in which they came.
    [[nodiscard]] const std::vector<std::string>& received() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

    // A write is taken in and its connection closed without an answer.
    void drop_write_answers();

  private:
    struct state;
    static boost::asio::awaitable<void> serve(std::shared_ptr<state> of,
                                              boost::asio::ip::tcp::socket socket);
    static boost::asio::awaitable<void> accept(std::shared_ptr<state> of);

    std::shared_ptr<state> state_;
};

} // namespace primrosehead::testing
