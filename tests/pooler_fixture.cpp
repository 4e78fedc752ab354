#include "pooler_fixture.h"

#include "document_codec.h"
#include "follow_replies.h"
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
#include <exception>
#include <utility>
#include <vector>

namespace primrosehead::testing {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

pooler_settings settings(clock::duration revocation)
{
    pooler_settings result;
    result.revocation = revocation;
    result.instance = "entry-1";
    result.failure_domain = failure_domain_name("zone");
    return result;
}

document_content one_database(double rate)
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
    return content;
}

} // namespace

pooler_fixture::pooler_fixture(clock::duration revocation)
    : control(
          io.get_executor(), settings(revocation), 1,
          [this](std::string_view) -> result<std::shared_ptr<const document>> { return document_; },
          connections, confirmations, events),
      shared{io.get_executor(), dialect, connections,      control,
             confirmations,     events,  statement_metrics}
{
}

void pooler_fixture::confirm(double rate)
{
    confirm_without_share(rate);
    grant_share(1'000'000);
}

void pooler_fixture::confirm_without_share(double rate)
{
    document_ = value(document::make(one_database(rate)));
    pb::follow_reply reply = make_follow_reply(++sequence_);
    add_first_state(reply);
    add_server(reply, "server-1", server.address()).set_is_primary(true);
    control.receive(reply, clock::now());
}

void pooler_fixture::move_key(std::string_view organisation)
{
    document_content content = one_database(100);
    content.version = 2;
    content.organisations.front().keys = {"other"};
    if (organisation == content.organisations.front().name) {
        content.organisations.front().keys.emplace_back("secret");
    }
    else if (!organisation.empty()) {
        document_organisation holder = content.organisations.front();
        holder.name = organisation;
        holder.keys = {"secret"};
        content.organisations.push_back(holder);
    }
    document_ = value(document::make(content));
    pb::follow_reply reply = make_follow_reply(++sequence_);
    reply.set_document_version(2);
    reply.set_directory_revision(1);
    *reply.mutable_document() = compress_document("document", 2, "{}");
    control.receive(reply, clock::now());
}

void pooler_fixture::grant_share(std::uint32_t millionths)
{
    pb::follow_reply shares = make_follow_reply(++sequence_);
    pb::share_grant& grant = *shares.add_shares();
    grant.set_organisation("org");
    grant.set_share_ppm(millionths);
    control.receive(shares, clock::now());
}

void pooler_fixture::start(std::function<net::awaitable<line_answer>()> statement,
                           std::optional<line_answer>& answer)
{
    net::co_spawn(io, std::move(statement),
                  [&answer](const std::exception_ptr&, line_answer received) {
                      answer = std::move(received);
                  });
}

void pooler_fixture::evacuate(const std::vector<std::string>& domains, std::uint64_t version)
{
    pb::follow_reply reply = make_follow_reply(++sequence_);
    for (const std::string& domain : domains) {
        reply.add_evacuated_domains(domain);
    }
    reply.set_evacuation_version(version);
    control.receive(reply, clock::now());
}

void pooler_fixture::announce_leaving(clock::duration time)
{
    pb::follow_reply reply = make_follow_reply(++sequence_);
    reply.set_directory_base_revision(directory_revision_);
    reply.set_directory_revision(++directory_revision_);
    pb::server_announcement& leaving = add_server(reply, "server-1", this->server.address());
    leaving.set_is_primary(true);
    leaving.set_leaving(true);
    leaving.set_sequence(2);
    leaving.set_leaving_ms(static_cast<std::uint32_t>(time.count()));
    control.receive(reply, clock::now());
}

void pooler_fixture::add_primary(std::string_view name, std::string_view failure_domain,
                                 std::string_view address)
{
    pb::follow_reply reply = make_follow_reply(++sequence_);
    reply.set_directory_revision(++directory_revision_);
    add_server(reply, name, address, failure_domain);
    pb::group_lead& lead = *reply.add_leads();
    lead.set_group("g");
    lead.set_server(std::string(name));
    lead.set_generation(1);
    control.receive(reply, clock::now());
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
            std::array<char, 4'096> buffer{};
            while (true) {
                const auto [failed, size] =
                    co_await caller.async_read_some(net::buffer(buffer), no_throw);
                if (failed) {
                    co_return;
                }
                answers.append(buffer.data(), size);
            }
        },
        net::detached);
    run(time);
    if (!later.empty()) {
        if (before_later) {
            before_later();
        }
        if (leaves_evacuated_server) {
            served->leave_evacuated_server(clock::now());
        }
        net::write(caller, net::buffer(later));
        run(time);
    }
    boost::system::error_code ignored; // closing the socket ends the session
    caller.close(ignored);
    run(clock::duration(20));
    return answers;
}

pooler::operation pooler_fixture::operation() const
{
    pooler::operation result;
    result.snapshot = document_;
    result.route = document_->route("db");
    result.organisation = "org";
    result.began_at = clock::now();
    return result;
}

} // namespace primrosehead::testing
