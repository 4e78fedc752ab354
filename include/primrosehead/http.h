// HTTP/1.1 over Boost.Beast: one listener for servers and one connection for clients, with bounds
// on size and time. TLS on the listener is a setting.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead::http {

struct header {
    std::string name;
    std::string value;
};

struct request {
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::uint64_t connection = 0; // number of the connection it came by

    // The value of a header, empty when missing. Names compare without case.
    [[nodiscard]] std::string_view header_value(std::string_view name) const noexcept;
};

struct response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<header> headers;
    std::string body;
    bool close = false; // close the connection after this answer
    bool drop = false;  // close the connection without an answer

    [[nodiscard]] std::string_view header_value(std::string_view name) const noexcept;
};

struct listener_settings {
    std::string address; // IP:PORT; port 0 takes a free one
    std::uint32_t max_connections = 10'000;
    clock::duration header_timeout{5'000};
    clock::duration accept_delay{0}; // cost of a new connection, for the stand-in
    std::optional<tls_settings> tls;
};

// Answers requests, one at a time on each connection.
class listener {
  public:
    // The request lives until the answer is there.
    using handler = std::function<boost::asio::awaitable<response>(const request&)>;
    using closed_handler = std::function<void(std::uint64_t connection)>;

    [[nodiscard]] static result<std::shared_ptr<listener>>
    open(boost::asio::any_io_executor executor, const listener_settings& settings, handler handle,
         closed_handler closed = {});
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] std::uint32_t connections() const noexcept;

    // Takes no new connections and ends each one after the answer under way.
    void drain();

    // True when drained and no connection is left.
    [[nodiscard]] bool is_idle() const noexcept;

    // Drops all connections.
    void close();

  private:
    struct implementation;
    explicit listener(std::shared_ptr<implementation> body);
    std::shared_ptr<implementation> body_;
};

// One keep-alive connection to a server.
class client {
  public:
    // Connects to "http://IP:PORT". `error_kind::connection_lost` with `ran::no` on failure.
    [[nodiscard]] static boost::asio::awaitable<result<std::unique_ptr<client>>>
    connect(std::string_view url, clock::time_point deadline);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends a request and reads its whole answer. A failure after the first byte was sent has
    // `ran::unknown`; the connection can't be used after any failure. `sent` is a named variable:
    // g++ 12 copies an aggregate argument of an awaited call bit by bit, which breaks short
    // strings.
    [[nodiscard]] boost::asio::awaitable<result<response>> call(const request& sent,
                                                                clock::time_point deadline);
    boost::asio::awaitable<result<response>> call(request&& sent,
                                                  clock::time_point deadline) = delete;

    [[nodiscard]] bool is_open() const noexcept;

  private:
    struct implementation;
    explicit client(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::http
