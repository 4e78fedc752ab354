#include "home_fleet.h"

#include "bus_runner.h"
#include "deployment_settings.h"
#include "follow_replies.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace primrosehead::testing {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr std::size_t node_count = 3;
constexpr clock::duration tick_interval{25};
constexpr clock::duration answer_timeout{3'000};

pooler_settings make_settings(const std::string& name)
{
    pooler_settings result;
    result.instance = name;
    result.failure_domain = failure_domain_name("zone");
    return result;
}

std::string free_endpoint(net::io_context& io)
{
    const tcp::acceptor acceptor(io, tcp::endpoint(net::ip::address_v4::loopback(), 0));
    return "tcp://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::shared_ptr<const document> make_document(std::uint32_t connection_limit)
{
    document_content content;
    content.version = 1;
    document_route route;
    route.name = "latest";
    route.database = "db";
    route.group = "g";
    content.routes.push_back(route);
    route.name = "stale";
    route.database = "stale";
    route.consistency = route_consistency::bounded_staleness;
    route.max_staleness = clock::duration(60'000);
    content.routes.push_back(route);
    document_group group;
    group.name = "g";
    group.connection_limit = connection_limit;
    content.groups.push_back(group);
    return value(document::make(content));
}

} // namespace

home_node::home_node(net::io_context& io, std::string of_name, std::string of_endpoint)
    : name(std::move(of_name)), endpoint(std::move(of_endpoint)), events(-1, name),
      connections(io.get_executor(), dialect, events, "zone"),
      confirmations(io.get_executor(), dialect, connections, events),
      control(
          io.get_executor(), make_settings(name), 1,
          [this](std::string_view) -> result<std::shared_ptr<const document>> { return published; },
          connections, confirmations, events),
      shared{io.get_executor(), dialect, connections, control, confirmations, events, counters}
{
    restart_home();
    constexpr double connections_per_instance = 100;
    homes = std::make_shared<pooler::home_client>(
        io.get_executor(), pooler::home_client_settings{"main", name, 1, connections_per_instance},
        control, *home, events, counters);
    shared.homes = homes.get();
    result<std::unique_ptr<bus>> opened = bus::open(endpoint, std::nullopt);
    if (!ok(opened)) {
        throw std::runtime_error(describe(failure(opened)));
    }
    messages_ =
        std::make_unique<bus_runner>(std::move(value(opened)), io.get_executor(),
                                     [this](const bus_origin& origin, const pb::envelope& message) {
                                         receive(origin, message);
                                     });
    homes->set_sender([this](std::string_view destination, const pb::envelope& message) {
        if (is_frozen || drops_outgoing) {
            return;
        }
        for (int copies = sends_copies ? 2 : 1; copies > 0; --copies) {
            messages_->messages().send(destination, message);
        }
    });
    net::co_spawn(io, tick_loop(), net::detached);
}

home_node::~home_node()
{
    *is_running_ = false;
}

void home_node::restart_home()
{
    home = std::make_unique<pooler::home_server>(shared, "main", name);
    home->set_replier([this](const bus_origin& origin, const pb::envelope& message) {
        if (!is_frozen && !drops_outgoing) {
            messages_->messages().reply(origin, message);
        }
    });
}

void home_node::receive(const bus_origin& origin, const pb::envelope& message)
{
    if (is_frozen) {
        return;
    }
    const clock::time_point now = clock::now();
    if (message.has_home_call()) {
        home->receive(origin, message.from(), message.home_call(), now);
    }
    else if (message.has_home_answer()) {
        homes->receive(message.from(), message.home_answer(), now);
    }
    else if (message.has_home_alive()) {
        homes->receive(message.from(), message.home_alive(), now);
    }
}

net::awaitable<void> home_node::tick_loop()
{
    const std::shared_ptr<bool> is_running = is_running_;
    net::steady_timer timer(shared.executor);
    while (*is_running) {
        if (!is_frozen) {
            homes->tick(clock::now());
            home->tick(clock::now());
        }
        timer.expires_after(tick_interval);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
}

home_fleet::home_fleet(std::uint32_t connection_limit) : document_(make_document(connection_limit))
{
    for (std::size_t i = 1; i <= node_count; ++i) {
        nodes_.push_back(
            std::make_unique<home_node>(io, "entry-" + std::to_string(i), free_endpoint(io)));
    }
    for (const std::unique_ptr<home_node>& each : nodes_) {
        each->published = document_;
        set_peers(*each, {1, 2, 3});
    }
}

void home_fleet::set_peers(home_node& node, const std::vector<std::size_t>& peers)
{
    pb::follow_reply reply = make_follow_reply(++sequence_, 2);
    add_first_state(reply);
    reply.add_relays()->set_endpoint("tcp://127.0.0.1:1");
    // Homes are used while control reports positions. This group's are not those of the tests.
    pb::group_position& position = *reply.add_positions();
    position.set_group("other");
    position.set_server("other-1");
    add_server(reply, "server-1", server.address()).set_is_primary(true);
    reply.set_peers_revision(sequence_);
    for (const std::size_t number : peers) {
        pb::peer_address& peer = *reply.add_peers();
        peer.set_instance(this->node(number).name);
        peer.set_endpoint(this->node(number).endpoint);
        peer.set_failure_domain("zone");
    }
    node.control.receive(reply, clock::now());
}

home_node& home_fleet::best_home()
{
    const std::vector<pooler::home_address> homes =
        node(1).control.homes().homes_of("server-1", "zone", "org", clock::now());
    for (const std::unique_ptr<home_node>& each : nodes_) {
        if (!homes.empty() && each->name == homes.front().instance) {
            return *each;
        }
    }
    throw std::runtime_error("no home");
}

void home_fleet::run(clock::duration time)
{
    io.restart();
    io.run_for(std::chrono::milliseconds(time.count()));
}

std::optional<line_answer> home_fleet::wait_for(std::function<net::awaitable<line_answer>()> work)
{
    std::optional<line_answer> answer;
    net::co_spawn(io, work, [&](const std::exception_ptr&, line_answer received) {
        answer = std::move(received);
    });
    const clock::time_point end = clock::now() + answer_timeout;
    while (!answer && clock::now() < end) {
        run(clock::duration(5));
    }
    return answer;
}

pooler::operation home_fleet::operation(std::string_view database) const
{
    pooler::operation result;
    result.snapshot = document_;
    result.route = document_->route(database);
    result.organisation = "org";
    result.began_at = clock::now();
    return result;
}

} // namespace primrosehead::testing
