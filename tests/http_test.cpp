// Tests of the HTTP listener and client over loopback.
#include <primrosehead/http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>

namespace net = boost::asio;
using namespace primrosehead;

namespace {

constexpr clock::duration call_timeout{5'000};

net::awaitable<http::response> echo(const http::request& received)
{
    http::response answer;
    answer.body = received.method + " " + received.target + " " + received.body;
    co_return answer;
}

std::string url_of(const http::listener& server)
{
    return "http://127.0.0.1:" + std::to_string(server.port());
}

std::string url_of(const net::ip::tcp::acceptor& server)
{
    return "http://127.0.0.1:" + std::to_string(server.local_endpoint().port());
}

// Answers the first read of one connection with raw bytes. Then keeps the connection open until the
// peer closes it, or closes it.
net::awaitable<void> answer_once(net::ip::tcp::acceptor& acceptor, std::string bytes, bool stays)
{
    auto socket = co_await acceptor.async_accept(net::use_awaitable);
    std::array<char, 4'096> buffer{};
    boost::system::error_code ec;
    co_await socket.async_read_some(net::buffer(buffer),
                                    net::redirect_error(net::use_awaitable, ec));
    co_await net::async_write(socket, net::buffer(bytes), net::use_awaitable);
    while (stays && !ec) {
        co_await socket.async_read_some(net::buffer(buffer),
                                        net::redirect_error(net::use_awaitable, ec));
    }
}

// Sends raw bytes and returns everything received until a read fails, usually because the peer
// closed the connection, or for at most 10 s.
std::string exchange(net::io_context& context, std::uint16_t port, const std::string& bytes)
{
    std::string received;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            net::ip::tcp::socket socket(context);
            co_await socket.async_connect({net::ip::make_address("127.0.0.1"), port},
                                          net::use_awaitable);
            co_await net::async_write(socket, net::buffer(bytes), net::use_awaitable);
            std::array<char, 4'096> buffer{};
            boost::system::error_code ec;
            while (!ec) {
                const std::size_t count = co_await socket.async_read_some(
                    net::buffer(buffer), net::redirect_error(net::use_awaitable, ec));
                received.append(buffer.data(), count);
            }
            context.stop();
        },
        net::detached);
    context.run_for(std::chrono::seconds(10));
    context.restart();
    return received;
}

} // namespace

TEST_CASE("http: requests on one connection get matching responses")
{
    net::io_context context;
    auto opened = http::listener::open(context.get_executor(), {.address = "127.0.0.1:0"}, echo);
    REQUIRE(ok(opened));
    const auto server = value(opened);
    std::vector<std::string> bodies;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            auto connected =
                co_await http::client::connect(url_of(*server), clock::now() + call_timeout);
            REQUIRE(ok(connected));
            for (int i = 0; i < 3; ++i) {
                http::request sent{"POST", "/n", {}, std::to_string(i)};
                auto answer = co_await value(connected)->call(sent, clock::now() + call_timeout);
                REQUIRE(ok(answer));
                bodies.push_back(value(answer).body);
            }
            context.stop();
        },
        net::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(bodies == std::vector<std::string>{"POST /n 0", "POST /n 1", "POST /n 2"});
}

TEST_CASE("http: malformed, oversized and incomplete requests get a 4xx status and the listener "
          "keeps serving")
{
    net::io_context context;
    http::listener_settings settings{.address = "127.0.0.1:0"};
    settings.header_timeout = clock::duration(200);
    auto opened = http::listener::open(context.get_executor(), settings, echo);
    REQUIRE(ok(opened));
    const std::uint16_t port = value(opened)->port();
    const std::string long_header = "GET / HTTP/1.1\r\nX: " + std::string(10'000, 'x') + "\r\n\r\n";
    CHECK(exchange(context, port, "nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(exchange(context, port, long_header).starts_with("HTTP/1.1 431"));
    CHECK(exchange(context, port, "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
    CHECK(exchange(context, port, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
              .starts_with("HTTP/1.1 408"));
    CHECK(exchange(context, port, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
              .starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "http: a listener for documents takes those up to its limit and names the limit otherwise")
{
    net::io_context context;
    http::listener_settings settings{.address = "127.0.0.1:0"};
    settings.max_body_bytes = config::max_published_bytes;
    settings.body_name = "document";
    auto opened =
        http::listener::open(context.get_executor(), settings,
                             [](const http::request& received) -> net::awaitable<http::response> {
                                 http::response answer;
                                 answer.body = std::to_string(received.body.size());
                                 co_return answer;
                             });
    REQUIRE(ok(opened));
    const auto put = [&](std::size_t size) {
        return exchange(context, value(opened)->port(),
                        "PUT / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                            std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
    };
    const std::string taken = put(config::max_published_bytes);
    CHECK(taken.starts_with("HTTP/1.1 200"));
    CHECK(taken.find(std::to_string(config::max_published_bytes)) != std::string::npos);
    const std::string refused = exchange(context, value(opened)->port(),
                                         "PUT / HTTP/1.1\r\nContent-Length: 4194305\r\n\r\n");
    CHECK(refused.starts_with("HTTP/1.1 413"));
    CHECK(refused.find("The document has 4194305 bytes; the limit is 4194304.") !=
          std::string::npos);
    CHECK(refused.find("Send a document of at most") != std::string::npos);
}

TEST_CASE("http: a draining listener completes the current request and closes its connections")
{
    net::io_context context;
    std::shared_ptr<http::listener> server;
    auto opened =
        http::listener::open(context.get_executor(), {.address = "127.0.0.1:0"},
                             [&](http::request received) -> net::awaitable<http::response> {
                                 server->drain();
                                 co_return co_await echo(received);
                             });
    REQUIRE(ok(opened));
    server = value(opened);
    bool answered = false;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            auto connected =
                co_await http::client::connect(url_of(*server), clock::now() + call_timeout);
            REQUIRE(ok(connected));
            const http::request sent{"GET", "/last"};
            auto answer = co_await value(connected)->call(sent, clock::now() + call_timeout);
            answered = ok(answer) && value(answer).close;
        },
        net::detached);
    context.run_for(std::chrono::seconds(3));
    CHECK(answered);
    CHECK(server->is_drained());
}

TEST_CASE("http: the client detects that the peer has closed an idle connection")
{
    net::io_context context;
    auto opened = http::listener::open(context.get_executor(), {.address = "127.0.0.1:0"}, echo);
    REQUIRE(ok(opened));
    const auto server = value(opened);
    bool open_after_answer = false;
    bool open_after_close = true;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            auto connected =
                co_await http::client::connect(url_of(*server), clock::now() + call_timeout);
            REQUIRE(ok(connected));
            const http::request sent{"GET", "/idle"};
            auto answer = co_await value(connected)->call(sent, clock::now() + call_timeout);
            REQUIRE(ok(answer));
            open_after_answer = value(connected)->is_open();
            server->close();
            net::steady_timer timer(context);
            for (int attempt = 0; attempt < 500 && open_after_close; ++attempt) {
                timer.expires_after(std::chrono::milliseconds(10));
                co_await timer.async_wait(net::use_awaitable);
                open_after_close = value(connected)->is_open();
            }
            context.stop();
        },
        net::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(open_after_answer);
    CHECK(!open_after_close);
}

// Guards against a late response that is taken for that of the next request.
TEST_CASE("http: the client takes no response that came ahead of its request")
{
    net::io_context context;
    net::ip::tcp::acceptor acceptor(context, {net::ip::make_address("127.0.0.1"), 0});
    const std::string url = url_of(acceptor);
    const std::string answers = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
                                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    net::co_spawn(context, answer_once(acceptor, answers, true), net::detached);
    std::string first;
    bool is_open = true;
    bool is_answered_again = true;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            auto connected = co_await http::client::connect(url, clock::now() + call_timeout);
            REQUIRE(ok(connected));
            const http::request sent{"GET", "/first"};
            auto answer = co_await value(connected)->call(sent, clock::now() + call_timeout);
            REQUIRE(ok(answer));
            first = value(answer).body;
            is_open = value(connected)->is_open();
            auto again = co_await value(connected)->call(sent, clock::now() + clock::duration(200));
            is_answered_again = ok(again);
            context.stop();
        },
        net::detached);
    context.run_for(std::chrono::seconds(10));
    CHECK(first == "own");
    CHECK(!is_open);
    CHECK(!is_answered_again);
}

TEST_CASE("http: a response that is cut off anywhere is none")
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}";
    for (std::size_t length = 0; length < response.size(); ++length) {
        CAPTURE(length);
        net::io_context context;
        net::ip::tcp::acceptor acceptor(context, {net::ip::make_address("127.0.0.1"), 0});
        const std::string url = url_of(acceptor);
        net::co_spawn(context, answer_once(acceptor, response.substr(0, length), false),
                      net::detached);
        std::optional<enum ran> may_have_run;
        net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                auto connected = co_await http::client::connect(url, clock::now() + call_timeout);
                REQUIRE(ok(connected));
                const http::request sent{"POST", "/order"};
                auto answer = co_await value(connected)->call(sent, clock::now() + call_timeout);
                CHECK(!value(connected)->is_open());
                if (!ok(answer)) {
                    may_have_run = failure(answer).ran;
                }
            },
            net::detached);
        context.run_for(std::chrono::seconds(10));
        REQUIRE(may_have_run.has_value());
        CHECK(*may_have_run == ran::unknown);
    }
}
