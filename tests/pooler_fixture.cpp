#include "pooler_fixture.h"

#include "document_codec.h"
#include "pooler_session.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <vector>

namespace primrosehead::testing {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

pooler_settings settings(clock::duration revocation)
{
    pooler_settings made;
    made.revocation = revocation;
    made.instance = "entry-1";
    made.failure_domain = failure_domain_name("zone");
    return made;
}

std::shared_ptr<const document> one_database(double rate)
{
    document_content content;
    content.version = 1;
    document_route route;
    route.name = "route";
    route.database = "db";
    route.group = "g";
    content.routes.push_back(route);
    document_group group;
    group.name = "g";
    group.connection_limit = 20;
    content.groups.push_back(group);
    document_organisation organisation;
    organisation.name = "org";
    organisation.keys = {"secret"};
    organisation.rate = rate;
    organisation.burst = rate;
    content.organisations.push_back(organisation);
    return value(document::make(content));
}

} // namespace

pooler_fixture::pooler_fixture(clock::duration revocation)
    : control(
          io.get_executor(), settings(revocation), 1,
          [this](std::string_view) -> result<std::shared_ptr<const document>> { return document_; },
          connections, events),
      shared{io.get_executor(), dialect, connections, control, events, statement_metrics}
{
}

void pooler_fixture::confirm(double rate)
{
    document_ = one_database(rate);
    const clock::time_point now = clock::now();
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(++sequence_);
    reply.set_asked_at_ms(to_ms(now));
    reply.set_control_term(1);
    reply.set_document_version(1);
    *reply.mutable_document() = compress_document("document", 1, "{}");
    reply.set_directory_revision(1);
    reply.set_directory_complete(true);
    reply.set_live_instances(1);
    pb::server_announcement& told = *reply.add_servers();
    told.set_server("server-1");
    told.set_group("g");
    told.set_address(server.address());
    told.set_failure_domain("zone");
    told.set_slots(2);
    told.set_is_primary(true);
    control.receive(reply, now);
    pb::follow_reply shares;
    shares.set_is_leader(true);
    shares.set_sequence(++sequence_);
    shares.set_asked_at_ms(to_ms(now));
    shares.set_control_term(1);
    shares.set_document_version(1);
    shares.set_live_instances(1);
    pb::share_grant& grant = *shares.add_shares();
    grant.set_organisation("org");
    grant.set_share_ppm(1'000'000);
    control.receive(shares, now);
}

void pooler_fixture::run(clock::duration time)
{
    io.restart();
    io.run_for(std::chrono::milliseconds(time.count()));
}

std::string pooler_fixture::exchange(std::string_view lines, clock::duration time,
                                     std::string_view later)
{
    tcp::acceptor acceptor(io, tcp::endpoint(net::ip::address_v4::loopback(), 0));
    tcp::socket caller(io);
    caller.connect(acceptor.local_endpoint());
    auto served = std::make_shared<pooler::session>(shared, acceptor.accept(), 1);
    net::co_spawn(
        io, [served] { return served->run(); }, net::detached);
    net::write(caller, net::buffer(lines));
    std::string answers;
    net::co_spawn(
        io,
        [&]() -> net::awaitable<void> {
            std::array<char, 4'096> part{};
            while (true) {
                const auto [failed, size] =
                    co_await caller.async_read_some(net::buffer(part), no_throw);
                if (failed) {
                    co_return;
                }
                answers.append(part.data(), size);
            }
        },
        net::detached);
    run(time);
    if (!later.empty()) {
        net::write(caller, net::buffer(later));
        run(time);
    }
    boost::system::error_code ignored; // the session ends with it
    caller.close(ignored);
    run(clock::duration(20));
    return answers;
}

pooler::operation pooler_fixture::operation() const
{
    pooler::operation made;
    made.snapshot = document_;
    made.route = document_->route("db");
    made.organisation = "org";
    made.began_at = clock::now();
    return made;
}

} // namespace primrosehead::testing
