#include "http_address.h"

#include <primrosehead/config.h>
#include <primrosehead/http.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <map>
#include <mutex>

namespace primrosehead::http {

namespace net = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::chrono::seconds write_timeout{10};
constexpr std::chrono::minutes idle_timeout{10};
constexpr std::chrono::milliseconds idle_close_interval{500};

using beast_request = beast::http::request<beast::http::string_body>;
using beast_response = beast::http::response<beast::http::string_body>;
using request_parser = beast::http::request_parser<beast::http::string_body>;
using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

request from_beast(beast_request&& message, std::uint64_t connection)
{
    request received;
    received.method = message.method_string();
    received.target = message.target();
    received.headers.reserve(8);
    for (const auto& field : message) {
        received.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    received.body = std::move(message.body());
    received.connection = connection;
    return received;
}

beast_response to_beast(response&& answer, bool keep_alive)
{
    beast_response message;
    message.result(answer.status);
    message.set(beast::http::field::content_type, answer.content_type);
    for (const header& entry : answer.headers) {
        message.set(entry.name, entry.value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    return message;
}

response problem_response(unsigned status, std::string_view text, std::string_view remedy)
{
    response answer;
    answer.status = status;
    answer.content_type = "application/problem+json";
    answer.body = boost::json::serialize(boost::json::value{
        {"kind", "bad_request"}, {"title", text}, {"remedy", remedy}, {"ran", "no"}});
    answer.close = true;
    return answer;
}

// Returns the response to a request that could not be read, or nothing if the peer disconnected.
// `announced_bytes` is the length in the request's headers; it may be empty.
std::optional<response> read_error_response(const beast::error_code& cause,
                                            const listener_settings& settings,
                                            std::string_view announced_bytes)
{
    if (cause == beast::http::error::body_limit) {
        const std::string size =
            announced_bytes.empty() ? "is too large" : fmt::format("has {} bytes", announced_bytes);
        return problem_response(413,
                                fmt::format("The {} {}; the limit is {}.", settings.body_name, size,
                                            settings.max_body_bytes),
                                fmt::format("Send a {} of at most {} bytes.", settings.body_name,
                                            settings.max_body_bytes));
    }
    if (cause == beast::http::error::header_limit) {
        return problem_response(431, "The request headers are too large.",
                                "Send fewer or shorter headers.");
    }
    if (cause == net::error::operation_aborted) {
        return problem_response(408, "Timed out while reading the request.",
                                "Send the complete request without pauses.");
    }
    const bool malformed =
        cause.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
    if (malformed && cause != beast::http::error::end_of_stream &&
        cause != beast::http::error::partial_message) {
        return problem_response(400, "Malformed HTTP request: " + cause.message() + ".",
                                "Send a valid HTTP/1.1 request.");
    }
    return std::nullopt;
}

beast::tcp_stream& tcp_layer(plain_stream& stream)
{
    return stream;
}

beast::tcp_stream& tcp_layer(tls_stream& stream)
{
    return stream.next_layer();
}

// Scoped timer that cancels the pending operations of a stream on expiry. The connection stays open
// for an error response, whereas the stream's own expiry would close it.
template <class Stream>
class read_timeout {
  public:
    read_timeout(Stream& stream, clock::duration time)
        : timer_(stream.get_executor(), std::chrono::milliseconds(time)),
          is_cancelled_(std::make_shared<bool>(false))
    {
        timer_.async_wait([&stream, is_cancelled = is_cancelled_](const beast::error_code&) {
            if (!*is_cancelled) {
                tcp_layer(stream).cancel();
            }
        });
    }
    ~read_timeout() { *is_cancelled_ = true; }
    read_timeout(const read_timeout&) = delete;
    read_timeout& operator=(const read_timeout&) = delete;

  private:
    net::steady_timer timer_;
    // Not atomic: the timer and this object run on the stream's strand.
    std::shared_ptr<bool> is_cancelled_;
};

// Returns a function that cancels the pending operations of a stream on the stream's strand. It has
// no effect once the stream is destroyed.
template <class Stream>
std::function<void()> canceller(const std::shared_ptr<Stream>& stream)
{
    return [weak = std::weak_ptr<Stream>(stream)] {
        if (const std::shared_ptr<Stream> locked_stream = weak.lock()) {
            net::post(locked_stream->get_executor(),
                      [locked_stream] { tcp_layer(*locked_stream).cancel(); });
        }
    };
}

error listen_error(std::string_view address, const beast::error_code& cause)
{
    return error{error_kind::bad_settings,
                 "Cannot listen on " + std::string(address) + ": " + cause.message() + ".",
                 "Use a free port and a local address."};
}

result<std::shared_ptr<net::ssl::context>> load_tls(const tls_settings& settings)
{
    auto context = std::make_shared<net::ssl::context>(net::ssl::context::tls_server);
    beast::error_code ec;
    context->set_options(net::ssl::context::default_workarounds | net::ssl::context::no_tlsv1 |
                             net::ssl::context::no_tlsv1_1,
                         ec);
    if (!ec) {
        context->use_certificate_chain_file(settings.certificate_file, ec);
    }
    if (!ec) {
        context->use_private_key_file(settings.key_file, net::ssl::context::pem, ec);
    }
    if (ec) {
        return error{error_kind::bad_settings, "Cannot load the TLS files: " + ec.message() + ".",
                     "Provide readable PEM files with a certificate chain and its private key."};
    }
    return context;
}

} // namespace

struct listener::implementation : std::enable_shared_from_this<listener::implementation> {
    // Allows an open connection to be cancelled from outside its strand.
    struct connection_entry {
        std::function<void()> cancel;
        bool idle = true;
    };

    implementation(net::any_io_executor pool_executor, listener_settings initial_settings,
                   handler request_handler, closed_handler closed_callback)
        : executor(net::make_strand(pool_executor)), pool(std::move(pool_executor)),
          settings(std::move(initial_settings)), handle(std::move(request_handler)),
          on_closed(std::move(closed_callback)), acceptor(executor)
    {
    }

    net::any_io_executor executor;
    net::any_io_executor pool;
    listener_settings settings;
    handler handle;
    closed_handler on_closed;
    net::ip::tcp::acceptor acceptor;
    std::shared_ptr<net::ssl::context> tls;
    std::uint16_t port = 0;
    std::atomic<std::uint32_t> open_connections = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> is_closed = false;
    std::mutex connections_mutex;
    std::uint64_t next_connection = 1;
    std::map<std::uint64_t, connection_entry> connections;

    status bind();
    net::awaitable<void> accept();
    net::awaitable<void> serve_socket(net::ip::tcp::socket socket);
    template <class Stream>
    net::awaitable<void> serve(Stream& stream, std::uint64_t connection);
    template <class Stream>
    net::awaitable<bool> serve_one(Stream& stream, beast::flat_buffer& buffer,
                                   std::uint64_t connection);
    template <class Stream>
    net::awaitable<beast::error_code> read_request(Stream& stream, beast::flat_buffer& buffer,
                                                   request_parser& parser);
    template <class Stream>
    net::awaitable<bool> write_response(Stream& stream, response& reply, bool keep_alive);
    net::awaitable<response> run_handler(const request& received);
    std::uint64_t register_connection(std::function<void()> cancel);
    void set_idle(std::uint64_t connection, bool idle);
    void unregister_connection(std::uint64_t connection);
    void cancel(bool only_idle);
    net::awaitable<void> close_idle_connections();
};

status listener::implementation::bind()
{
    result<net::ip::tcp::endpoint> address = parse_address(settings.address);
    if (!ok(address)) {
        return failure(address);
    }
    if (settings.tls) {
        result<std::shared_ptr<net::ssl::context>> loaded = load_tls(*settings.tls);
        if (!ok(loaded)) {
            return failure(loaded);
        }
        tls = value(loaded);
    }
    beast::error_code ec;
    acceptor.open(value(address).protocol(), ec);
    if (!ec) {
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(value(address), ec);
    }
    if (!ec) {
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return listen_error(settings.address, ec);
    }
    port = acceptor.local_endpoint(ec).port();
    return std::monostate{};
}

net::awaitable<void> listener::implementation::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto [ec, socket] = co_await acceptor.async_accept(net::make_strand(pool), no_throw);
        if (ec == net::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            net::steady_timer retry_timer(executor, accept_retry_delay);
            co_await retry_timer.async_wait(no_throw);
            continue;
        }
        const net::any_io_executor strand = socket.get_executor();
        net::co_spawn(strand, serve_socket(std::move(socket)), net::detached);
    }
}

net::awaitable<void> listener::implementation::serve_socket(net::ip::tcp::socket socket)
{
    const auto self = shared_from_this();
    beast::error_code ignored;
    socket.set_option(net::ip::tcp::no_delay(true), ignored);
    const bool is_over_limit = open_connections.fetch_add(1) >= settings.max_connections;
    if (settings.accept_delay.count() > 0) {
        net::steady_timer delay(socket.get_executor(),
                                std::chrono::milliseconds(settings.accept_delay));
        co_await delay.async_wait(no_throw);
    }
    if (is_over_limit) {
        plain_stream stream(std::move(socket));
        response refusal =
            problem_response(503, "Too many connections.", "Connect to another instance.");
        co_await write_response(stream, refusal, false);
    }
    else if (tls) {
        const auto stream = std::make_shared<tls_stream>(std::move(socket), *tls);
        const std::uint64_t connection = register_connection(canceller(stream));
        tcp_layer(*stream).expires_after(std::chrono::milliseconds(settings.header_timeout));
        const auto [ec] = co_await stream->async_handshake(net::ssl::stream_base::server, no_throw);
        if (!ec) {
            co_await serve(*stream, connection);
        }
        unregister_connection(connection);
    }
    else {
        const auto stream = std::make_shared<plain_stream>(std::move(socket));
        const std::uint64_t connection = register_connection(canceller(stream));
        co_await serve(*stream, connection);
        unregister_connection(connection);
    }
    open_connections.fetch_sub(1);
}

template <class Stream>
net::awaitable<void> listener::implementation::serve(Stream& stream, std::uint64_t connection)
{
    beast::flat_buffer buffer;
    bool is_reusable = true;
    while (is_reusable) {
        is_reusable = co_await serve_one(stream, buffer, connection);
    }
    beast::error_code ignored;
    tcp_layer(stream).socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    if (on_closed) {
        on_closed(connection);
    }
}

template <class Stream>
net::awaitable<beast::error_code> listener::implementation::read_request(Stream& stream,
                                                                         beast::flat_buffer& buffer,
                                                                         request_parser& parser)
{
    const read_timeout limit(stream, settings.header_timeout);
    const auto [ec, bytes] = co_await beast::http::async_read(stream, buffer, parser, no_throw);
    (void)bytes;
    co_return ec;
}

template <class Stream>
net::awaitable<bool> listener::implementation::serve_one(Stream& stream, beast::flat_buffer& buffer,
                                                         std::uint64_t connection)
{
    request_parser parser;
    parser.body_limit(settings.max_body_bytes);
    parser.header_limit(config::max_header_bytes);
    set_idle(connection, true);
    if (buffer.size() == 0) {
        // Waits for the first byte with the idle timeout; the header timeout starts afterwards.
        tcp_layer(stream).expires_after(idle_timeout);
        const auto [read_failed, count] =
            co_await stream.async_read_some(buffer.prepare(config::max_header_bytes), no_throw);
        if (read_failed) {
            co_return false;
        }
        buffer.commit(count);
    }
    set_idle(connection, false);
    tcp_layer(stream).expires_never();
    const beast::error_code ec = co_await read_request(stream, buffer, parser);
    if (ec) {
        const std::string_view length = parser.get()[beast::http::field::content_length];
        std::optional<response> refusal = read_error_response(ec, settings, length);
        if (refusal) {
            co_await write_response(stream, *refusal, false);
        }
        co_return false;
    }
    const bool keep_alive = parser.get().keep_alive();
    const request received = from_beast(parser.release(), connection);
    response reply = co_await run_handler(received);
    if (reply.drop) {
        co_return false;
    }
    const bool remains_open = keep_alive && !reply.close && !draining.load();
    co_return co_await write_response(stream, reply, remains_open);
}

net::awaitable<response> listener::implementation::run_handler(const request& received)
{
    try {
        co_return co_await handle(received);
    }
    catch (const std::exception& exception) {
        spdlog::error("http: Request handler threw an exception: {}", exception.what());
    }
    response answer;
    answer.status = 500;
    answer.content_type = "application/problem+json";
    answer.body = R"({"kind":"internal","title":"This instance failed to process the request.",)"
                  R"("remedy":"Report the error with the request id.","ran":"unknown"})";
    answer.close = true;
    co_return answer;
}

template <class Stream>
net::awaitable<bool> listener::implementation::write_response(Stream& stream, response& reply,
                                                              bool keep_alive)
{
    const beast_response message = to_beast(std::move(reply), keep_alive);
    tcp_layer(stream).expires_after(write_timeout);
    const auto [ec, bytes] = co_await beast::http::async_write(stream, message, no_throw);
    (void)bytes;
    co_return !ec && keep_alive;
}

std::uint64_t listener::implementation::register_connection(std::function<void()> cancel)
{
    const std::lock_guard lock(connections_mutex);
    const std::uint64_t connection = next_connection++;
    connections.emplace(connection, connection_entry{std::move(cancel)});
    return connection;
}

void listener::implementation::set_idle(std::uint64_t connection, bool idle)
{
    const std::lock_guard lock(connections_mutex);
    connections[connection].idle = idle;
}

void listener::implementation::unregister_connection(std::uint64_t connection)
{
    const std::lock_guard lock(connections_mutex);
    connections.erase(connection);
}

void listener::implementation::cancel(bool only_idle)
{
    const std::lock_guard lock(connections_mutex);
    for (const auto& [connection, entry] : connections) {
        if (entry.idle || !only_idle) {
            entry.cancel();
        }
    }
}

net::awaitable<void> listener::implementation::close_idle_connections()
{
    const auto self = shared_from_this();
    net::steady_timer timer(executor);
    while (open_connections.load() > 0 && !is_closed.load()) {
        timer.expires_after(idle_close_interval);
        co_await timer.async_wait(no_throw);
        cancel(true);
    }
}

listener::listener(std::shared_ptr<implementation> impl) : impl_(std::move(impl)) {}

listener::~listener()
{
    close();
}

result<std::shared_ptr<listener>> listener::open(net::any_io_executor executor,
                                                 const listener_settings& settings, handler handle,
                                                 closed_handler closed)
{
    auto impl = std::make_shared<implementation>(std::move(executor), settings, std::move(handle),
                                                 std::move(closed));
    const status bound = impl->bind();
    if (!ok(bound)) {
        return failure(bound);
    }
    net::co_spawn(impl->executor, impl->accept(), net::detached);
    return std::shared_ptr<listener>(new listener(std::move(impl)));
}

std::uint16_t listener::port() const noexcept
{
    return impl_->port;
}

std::uint32_t listener::connection_count() const noexcept
{
    return impl_->open_connections.load();
}

void listener::drain()
{
    if (impl_->draining.exchange(true)) {
        return;
    }
    net::post(impl_->executor, [impl = impl_] {
        beast::error_code ignored;
        impl->acceptor.close(ignored);
    });
    net::co_spawn(impl_->executor, impl_->close_idle_connections(), net::detached);
}

bool listener::is_drained() const noexcept
{
    return impl_->draining.load() && impl_->open_connections.load() == 0;
}

void listener::close()
{
    impl_->draining.store(true);
    impl_->is_closed.store(true);
    net::post(impl_->executor, [impl = impl_] {
        beast::error_code ignored;
        impl->acceptor.close(ignored);
    });
    impl_->cancel(false);
}

} // namespace primrosehead::http
