#include "clock_timer.h"
#include "http_address.h"

#include <primrosehead/config.h>
#include <primrosehead/http.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <cerrno>

namespace primrosehead::http {

namespace net = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

using beast_request = beast::http::request<beast::http::string_body>;

error connection_error(const beast::error_code& cause, enum ran ran)
{
    if (cause == beast::error::timeout) {
        return error{error_kind::timed_out, "The peer did not respond before the deadline.",
                     "Check the load of the peer and the timeout of the request.", ran};
    }
    return error{error_kind::connection_lost, "The connection failed: " + cause.message() + ".",
                 "Check that the peer is running and reachable.", ran};
}

beast_request to_beast(const request& sent)
{
    beast_request message;
    message.method_string(sent.method);
    message.target(sent.target);
    message.set(beast::http::field::host, "primrosehead");
    message.set(beast::http::field::content_type, "application/json");
    for (const header& entry : sent.headers) {
        message.set(entry.name, entry.value);
    }
    message.body() = sent.body;
    message.prepare_payload();
    return message;
}

response from_beast(beast::http::response<beast::http::string_body>&& message)
{
    response answer;
    answer.status = message.result_int();
    answer.content_type = message[beast::http::field::content_type];
    for (const auto& field : message) {
        answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    answer.body = std::move(message.body());
    answer.close = !message.keep_alive();
    return answer;
}

} // namespace

struct client::implementation {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = true;

    // False also if a response has come that no request asked for.
    [[nodiscard]] bool is_in_step() const noexcept { return open && buffer.size() == 0; }
};

client::client(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}
client::~client() = default;

net::awaitable<result<std::unique_ptr<client>>> client::connect(std::string_view url,
                                                                clock::time_point deadline)
{
    result<net::ip::tcp::endpoint> address = parse_url(url);
    if (!ok(address)) {
        co_return failure(address);
    }
    const net::any_io_executor executor = co_await net::this_coro::executor;
    auto impl = std::make_unique<implementation>(implementation{beast::tcp_stream(executor), {}});
    impl->stream.expires_at(to_steady_time(deadline));
    const auto [failed] = co_await impl->stream.async_connect(value(address), no_throw);
    if (failed) {
        co_return connection_error(failed, ran::no);
    }
    beast::error_code ignored;
    impl->stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
    co_return std::unique_ptr<client>(new client(std::move(impl)));
}

net::awaitable<result<response>> client::call(const request& sent, clock::time_point deadline)
{
    if (!impl_->is_in_step()) {
        co_return error{error_kind::connection_lost,
                        "The connection is closed, or has a response that no request asked for.",
                        "Open a new connection."};
    }
    impl_->open = false; // until the complete response has been received
    impl_->stream.expires_at(to_steady_time(deadline));
    const beast_request message = to_beast(sent);
    const auto [write_failed, sent_bytes] =
        co_await beast::http::async_write(impl_->stream, message, no_throw);
    if (write_failed) {
        co_return connection_error(write_failed, sent_bytes == 0 ? ran::no : ran::unknown);
    }
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(config::max_backend_response_bytes);
    parser.header_limit(config::max_header_bytes);
    const auto [read_failed, read_bytes] =
        co_await beast::http::async_read(impl_->stream, impl_->buffer, parser, no_throw);
    (void)read_bytes;
    if (read_failed) {
        co_return connection_error(read_failed, ran::unknown);
    }
    response answer = from_beast(parser.release());
    impl_->open = !answer.close;
    co_return answer;
}

// Detects a stale idle connection: readable bytes or end of stream mean that the peer has closed
// the connection or is out of sync.
bool client::is_open() const noexcept
{
    if (!impl_->is_in_step()) {
        return false;
    }
    char byte = 0;
    const ssize_t peeked =
        ::recv(impl_->stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace primrosehead::http
