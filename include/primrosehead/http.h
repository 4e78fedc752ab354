// HTTP/1.1 over Boost.Beast: a listener for servers and a single-connection client, both with
// size limits and timeouts. The listener optionally uses TLS.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/config.h>
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
    std::uint64_t connection = 0; // id of the connection that received it

    // Returns the value of a header, or an empty string if absent. Names are case-insensitive.
    [[nodiscard]] std::string_view header_value(std::string_view name) const noexcept;
};

struct response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<header> headers;
    std::string body;
    bool close = false; // close the connection after this response
    bool drop = false;  // close the connection without sending a response

    [[nodiscard]] std::string_view header_value(std::string_view name) const noexcept;
};

struct listener_settings {
    std::string address; // IP:PORT; port 0 selects a free port
    std::uint32_t max_connections = 10'000;
    // Limit of the TLS handshake, and of receiving a whole request (headers and body) from its
    // first byte on.
    clock::duration header_timeout{5'000};
    // Largest request body, and the word for such a body in the error about a larger one.
    std::size_t max_body_bytes = config::max_body_bytes;
    std::string body_name = "statement";
    // Artificial delay before serving a new connection; only for the simulated server.
    clock::duration accept_delay{0};
    std::optional<tls_settings> tls;
};

// Serves HTTP connections. Each connection handles one request at a time.
class listener {
  public:
    // The request stays valid until the response is available.
    using handler = std::function<boost::asio::awaitable<response>(const request&)>;
    // Called when a served connection has ended, shortly before its socket closes. Not called for a
    // connection refused over `max_connections` or one whose TLS handshake failed.
    using closed_handler = std::function<void(std::uint64_t connection)>;

    [[nodiscard]] static result<std::shared_ptr<listener>>
    open(boost::asio::any_io_executor executor, const listener_settings& settings, handler handle,
         closed_handler closed = {});
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;
    [[nodiscard]] std::uint32_t connection_count() const noexcept;

    // Stops accepting connections and closes each open one after its current response.
    void drain();

    // True once `drain` was called and no connection is open.
    [[nodiscard]] bool is_drained() const noexcept;

    // Stops accepting connections and cancels pending operations on all open ones.
    void close();

  private:
    struct implementation;
    explicit listener(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> impl_;
};

// A keep-alive connection to a server.
class client {
  public:
    // Connects to "http://IP:PORT". Failures have `ran::no`: `error_kind::connection_lost`,
    // `timed_out` past the deadline, or `bad_settings` for an invalid URL.
    [[nodiscard]] static boost::asio::awaitable<result<std::unique_ptr<client>>>
    connect(std::string_view url, clock::time_point deadline);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends a request and reads the complete response. Failures after the first byte was sent have
    // `ran::unknown`; after any failure the connection is unusable. `sent` must be a named
    // variable: g++ 12 copies a temporary aggregate argument of an awaited call bitwise, which
    // corrupts short strings.
    [[nodiscard]] boost::asio::awaitable<result<response>> call(const request& sent,
                                                                clock::time_point deadline);
    boost::asio::awaitable<result<response>> call(request&& sent,
                                                  clock::time_point deadline) = delete;

    [[nodiscard]] bool is_open() const noexcept;

  private:
    struct implementation;
    explicit client(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace primrosehead::http
