// Two processes' buses against each other over loopback.
#include "primrosehead.pb.h"

#include <primrosehead/bus.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <zmq.h>

using namespace primrosehead;

namespace {

constexpr int turns = 200;
constexpr clock::duration turn{20};

bus_key_settings make_key()
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    zmq_curve_keypair(public_key.data(), secret_key.data());
    return {public_key.data(), secret_key.data()};
}

// An endpoint whose port was free a moment ago.
std::string free_endpoint()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "tcp://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Asks over `client` and counts the answers of `server`, which echoes the correlation.
int count_answers(bus& client, bus& server, std::string_view endpoint)
{
    int answers = 0;
    pb::envelope question;
    question.set_correlation(7);
    client.send(endpoint, question);
    for (int i = 0; i < turns && answers == 0; ++i) {
        server.poll(turn, [&](const bus_origin& origin, const pb::envelope& message) {
            server.reply(origin, message);
        });
        client.poll(turn, [&](const bus_origin& origin, const pb::envelope& message) {
            CHECK(origin.endpoint == endpoint);
            CHECK(message.correlation() == 7);
            ++answers;
        });
    }
    return answers;
}

} // namespace

TEST_CASE("an answer comes back over the connection of its question")
{
    const std::string endpoint = free_endpoint();
    auto server = bus::open(endpoint, std::nullopt);
    auto client = bus::open("", std::nullopt);
    REQUIRE(ok(server));
    REQUIRE(ok(client));
    CHECK(count_answers(*value(client), *value(server), endpoint) == 1);
}

TEST_CASE("only holders of the fleet's key pair can talk on the bus")
{
    const bus_key_settings key = make_key();
    const std::string endpoint = free_endpoint();
    auto server = bus::open(endpoint, key);
    auto friendly = bus::open("", key);
    REQUIRE(ok(server));
    REQUIRE(ok(friendly));
    CHECK(count_answers(*value(friendly), *value(server), endpoint) == 1);

    bus_key_settings stranger_key = make_key();
    auto stranger = bus::open("", stranger_key);
    REQUIRE(ok(stranger));
    pb::envelope question;
    value(stranger)->send(endpoint, question);
    int heard = 0;
    for (int i = 0; i < 20; ++i) {
        value(stranger)->poll(turn, [](const bus_origin&, const pb::envelope&) {});
        value(server)->poll(turn, [&](const bus_origin&, const pb::envelope&) { ++heard; });
    }
    CHECK(heard == 0);
}
