// Tests of the message bus over loopback.
#include "bus_inbox.h"
#include "primrosehead.pb.h"

#include <primrosehead/bus.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <array>
#include <stdexcept>
#include <string>
#include <vector>
#include <zmq.h>

using namespace primrosehead;

namespace {

constexpr int max_polls = 200;
constexpr clock::duration poll_timeout{20};

bus_key_settings make_key()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

// Returns a loopback endpoint whose port was free when it was checked.
std::string free_endpoint()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "tcp://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Sends a request from `client` to `server`, which echoes it, and polls both. Returns the number of
// replies that the first polling round with a reply delivered, or 0 after `max_polls` rounds.
int count_replies(bus& client, bus& server, std::string_view endpoint)
{
    int replies = 0;
    pb::envelope request;
    request.set_correlation(7);
    client.send(endpoint, request);
    for (int i = 0; i < max_polls && replies == 0; ++i) {
        server.poll(poll_timeout, [&](const bus_origin& origin, const pb::envelope& message) {
            server.reply(origin, message);
        });
        client.poll(poll_timeout, [&](const bus_origin& origin, const pb::envelope& message) {
            CHECK(origin.endpoint == endpoint);
            CHECK(message.correlation() == 7);
            ++replies;
        });
    }
    return replies;
}

} // namespace

TEST_CASE("bus: a reply is sent over the connection of its request")
{
    const std::string endpoint = free_endpoint();
    auto server = bus::open(endpoint, std::nullopt);
    auto client = bus::open("", std::nullopt);
    REQUIRE(ok(server));
    REQUIRE(ok(client));
    CHECK(count_replies(*value(client), *value(server), endpoint) == 1);
}

TEST_CASE("bus: only peers with the fleet's key pair can exchange messages")
{
    const bus_key_settings key = make_key();
    const std::string endpoint = free_endpoint();
    auto server = bus::open(endpoint, key);
    auto authorised = bus::open("", key);
    REQUIRE(ok(server));
    REQUIRE(ok(authorised));
    CHECK(count_replies(*value(authorised), *value(server), endpoint) == 1);

    bus_key_settings other_key = make_key();
    auto unauthorised = bus::open("", other_key);
    REQUIRE(ok(unauthorised));
    pb::envelope request;
    value(unauthorised)->send(endpoint, request);
    int received = 0;
    for (int i = 0; i < 20; ++i) {
        value(unauthorised)->poll(poll_timeout, [](const bus_origin&, const pb::envelope&) {});
        value(server)->poll(poll_timeout,
                            [&](const bus_origin&, const pb::envelope&) { ++received; });
    }
    CHECK(received == 0);
}

TEST_CASE("bus inbox: consensus messages come before a backlog of requests")
{
    boost::asio::io_context context;
    std::vector<std::uint64_t> handled;
    const auto inbox = bus_inbox::make(
        context.get_executor(),
        [&](const bus_origin&, const pb::envelope& message) {
            handled.push_back(message.has_consensus() ? 0 : message.correlation());
        },
        1'000);
    pb::envelope request;
    request.mutable_follow();
    for (std::uint64_t number = 1; number <= 300; ++number) {
        request.set_correlation(number);
        inbox->add({}, request);
    }
    pb::envelope vote;
    vote.mutable_consensus();
    inbox->add({}, vote);
    context.run();
    REQUIRE(handled.size() == 301);
    CHECK(handled.front() == 0);
    CHECK(handled[1] == 1);
    CHECK(handled.back() == 300);
}

TEST_CASE("bus inbox: with too many messages waiting, the oldest requests are dropped")
{
    boost::asio::io_context context;
    std::vector<std::uint64_t> handled;
    const auto inbox = bus_inbox::make(
        context.get_executor(),
        [&](const bus_origin&, const pb::envelope& message) {
            handled.push_back(message.correlation());
        },
        10);
    pb::envelope request;
    request.mutable_follow();
    for (std::uint64_t number = 1; number <= 25; ++number) {
        request.set_correlation(number);
        inbox->add({}, request);
    }
    context.run();
    REQUIRE(handled.size() == 10);
    CHECK(handled.front() == 16);
    CHECK(handled.back() == 25);
}

TEST_CASE("bus inbox: an unexpected error in a handler does not end the process")
{
    boost::asio::io_context context;
    int handled = 0;
    const auto inbox = bus_inbox::make(
        context.get_executor(),
        [&](const bus_origin&, const pb::envelope& message) {
            if (message.correlation() == 1) {
                throw std::runtime_error("malformed");
            }
            ++handled;
        },
        10);
    pb::envelope request;
    request.mutable_follow();
    for (std::uint64_t number = 1; number <= 3; ++number) {
        request.set_correlation(number);
        inbox->add({}, request);
    }
    context.run();
    CHECK(handled == 2);
}
