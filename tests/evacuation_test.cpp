// Tests of evacuations in the replicated state, at the leader and at relays.
#include "cell_directory.h"
#include "cell_evacuations.h"
#include "cell_relay.h"
#include "cell_service.h"
#include "pooler_evacuations.h"
#include "replica_cell.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace primrosehead;
using primrosehead::testing::replica_cell;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

const cell::domain_set two_domains{"east", "west"};

pb::command make_order(std::string_view domain, bool is_withdrawn = false)
{
    pb::command command;
    command.mutable_evacuate()->set_failure_domain(std::string(domain));
    command.mutable_evacuate()->set_withdrawn(is_withdrawn);
    return command;
}

state_machine state_with(const std::vector<std::string>& domains)
{
    state_machine state(cell_name("main"));
    for (const std::string& domain : domains) {
        REQUIRE(state.apply(make_order(domain)).ok());
    }
    return state;
}

std::optional<error_kind> refusal(const cell::evacuation_orders& orders, const pb::command& command,
                                  const state_machine& state)
{
    const std::optional<error> reason = orders.check(command.evacuate(), two_domains, state);
    return reason ? std::optional(reason->kind) : std::nullopt;
}

using reply_slot = std::shared_ptr<std::optional<pb::operator_reply>>;

reply_slot propose(replica_cell& cell, std::string_view target, const pb::command& command)
{
    auto slot = std::make_shared<std::optional<pb::operator_reply>>();
    CHECK(ok(cell.at(target).propose(command, cell.now(),
                                     [slot](const pb::operator_reply& reply) { *slot = reply; })));
    return slot;
}

void restart_all(replica_cell& cell)
{
    const std::array<std::string, 3> names{"c1", "c2", "c3"};
    for (const std::string& name : names) {
        cell.stop(name);
    }
    for (const std::string& name : names) {
        cell.start(name);
    }
}

// A leader with the group "kura" of three servers; "p" is the primary.
class leader_fixture {
  public:
    leader_fixture()
    {
        document_content content;
        content.version = 1;
        document_group group;
        group.name = "kura";
        content.groups.push_back(group);
        document_ = value(document::make(content));
    }

    void announce(std::string_view server, std::string_view domain)
    {
        pb::server_announcement message;
        message.set_server(std::string(server));
        message.set_group("kura");
        message.set_address("127.0.0.1:" + std::to_string(9'000 + ++announced_));
        message.set_failure_domain(std::string(domain));
        message.set_slots(3);
        message.set_sequence(1);
        message.set_born_ms(100);
        message.set_is_primary(server == "p");
        servers.apply(message, at(now));
    }

    // Advances the leader for 6 s while all servers answer, and returns the reason of the first
    // change of primary.
    std::string run()
    {
        for (const std::int64_t end = now + 6'000; now < end; now += 20) {
            promotion::planner* const planner = leader.find_planner("kura");
            if (planner != nullptr) {
                planner->on_primary("p", {1, 10}, at(now), at(now));
            }
            for (const auto& requested : leader.advance(document_.get(), state, servers, at(now))) {
                if (const auto* const begin =
                        std::get_if<promotion::begin_decision>(&requested.action)) {
                    return begin->reason;
                }
                if (const auto* const check =
                        std::get_if<promotion::check_primary>(&requested.action);
                    check != nullptr && check->server != "p") {
                    leader.find_planner("kura")->on_not_primary(check->server, at(now));
                }
            }
        }
        return {};
    }

    state_machine state{cell_name("main")};
    cell::directory servers;
    cell::service leader{{}, 4, at(0)};

    std::int64_t now = 0;

  private:
    std::shared_ptr<const document> document_;
    int announced_ = 0;
};

} // namespace

TEST_CASE("evacuation: a repeated order gets the same answer and changes nothing")
{
    state_machine state(cell_name("main"));
    const pb::operator_reply first = state.apply(make_order("east"));
    CHECK(first.ok());
    REQUIRE(state.apply(make_order("west")).ok());
    const std::uint64_t version = state.version();
    CHECK(state.apply(make_order("east")).SerializeAsString() == first.SerializeAsString());
    CHECK(state.version() == version);
    CHECK(cell::evacuated_domains(state) == two_domains);

    CHECK(state.apply(make_order("east", true)).ok());
    const std::uint64_t withdrawn_version = cell::evacuation_version(state);
    CHECK(withdrawn_version == version + 1);
    CHECK(state.apply(make_order("east", true)).ok());
    CHECK(state.apply(make_order("never", true)).ok());
    CHECK(cell::evacuation_version(state) == withdrawn_version);
    CHECK(cell::evacuated_domains(state) == cell::domain_set{"west"});
}

TEST_CASE("evacuation: an order without a valid name stores nothing")
{
    state_machine state(cell_name("main"));
    for (const std::string& name : {std::string(), std::string("a/b"), std::string(65, 'a')}) {
        const pb::operator_reply reply = state.apply(make_order(name));
        CHECK(!reply.ok());
        CHECK(parse_error_kind(reply.error().kind()) == error_kind::bad_request);
    }
    CHECK(state.version() == 0);
}

TEST_CASE("evacuation: an unknown domain and the last domain are refused")
{
    const cell::evacuation_orders orders;
    const state_machine empty = state_with({});
    CHECK(refusal(orders, make_order("north"), empty) == error_kind::bad_request);
    CHECK(refusal(orders, make_order("north", true), empty) == error_kind::bad_request);
    CHECK(!refusal(orders, make_order("west"), empty));
    const state_machine evacuated = state_with({"east"});
    CHECK(refusal(orders, make_order("west"), evacuated) == error_kind::bad_request);
    CHECK(!refusal(orders, make_order("east"), evacuated)); // repeated
    CHECK(!refusal(orders, make_order("west", true), evacuated));
    // A domain that is no longer in the settings can be released, but not evacuated.
    const state_machine removed = state_with({"north"});
    CHECK(!refusal(orders, make_order("north", true), removed));
    CHECK(refusal(orders, make_order("north"), removed) == error_kind::bad_request);
}

TEST_CASE("evacuation: two operators at once do not evacuate every domain")
{
    cell::evacuation_orders orders;
    state_machine state = state_with({});
    const pb::command east = make_order("east");
    const pb::command west = make_order("west");
    orders.begin(east.evacuate());
    orders.begin(east.evacuate()); // repeated before the first one is committed
    CHECK(!refusal(orders, east, state));
    // Whether the second order may be stored is unknown until the first one is committed or lost.
    CHECK(refusal(orders, west, state) == error_kind::no_quorum);
    orders.finish(east.evacuate());
    CHECK(refusal(orders, west, state) == error_kind::no_quorum);
    SUBCASE("the first order is committed")
    {
        REQUIRE(state.apply(east).ok());
        orders.finish(east.evacuate());
        CHECK(refusal(orders, west, state) == error_kind::bad_request);
    }
    SUBCASE("the first order is lost")
    {
        orders.finish(east.evacuate());
        CHECK(!refusal(orders, west, state));
    }
    SUBCASE("a pending withdrawal is not relied on")
    {
        REQUIRE(state.apply(east).ok());
        orders.finish(east.evacuate());
        orders.begin(make_order("east", true).evacuate());
        CHECK(refusal(orders, west, state) == error_kind::bad_request);
    }
}

TEST_CASE("evacuation: an acknowledged order survives a restart of all instances")
{
    replica_cell cell(3);
    const reply_slot ordered = propose(cell, cell.run_until_leader(), make_order("east"));
    cell.run(clock::duration(200));
    REQUIRE((*ordered && (*ordered)->ok()));
    restart_all(cell);
    std::string leader = cell.run_until_leader();
    REQUIRE(!leader.empty());
    CHECK(cell::evacuated_domains(cell.at(leader).state()) == cell::domain_set{"east"});
    const std::uint64_t evacuated_version = cell::evacuation_version(cell.at(leader).state());

    const reply_slot withdrawn = propose(cell, leader, make_order("east", true));
    cell.run(clock::duration(200));
    REQUIRE((*withdrawn && (*withdrawn)->ok()));
    restart_all(cell);
    leader = cell.run_until_leader();
    REQUIRE(!leader.empty());
    CHECK(cell::evacuated_domains(cell.at(leader).state()).empty());
    // Pooler instances that hold the evacuation take the withdrawal as newer.
    CHECK(cell::evacuation_version(cell.at(leader).state()) > evacuated_version);
    CHECK(cell.failure_log().empty());
}

TEST_CASE("evacuation: an order that did not reach a majority is not acknowledged")
{
    replica_cell cell(3);
    const std::string old_leader = cell.run_until_leader();
    cell.run(clock::duration(200));
    cell.isolate(old_leader);
    const reply_slot ordered = propose(cell, old_leader, make_order("east"));
    cell.run(clock::duration(4'000));
    CHECK(!(*ordered && (*ordered)->ok()));
    cell.heal();
    cell.run(clock::duration(2'000));
    REQUIRE(*ordered);
    CHECK(!(*ordered)->ok());
    CHECK((*ordered)->error().ran() == "unknown"); // the operator repeats the order
    CHECK(cell::evacuated_domains(cell.at(cell.run_until_leader()).state()).empty());
}

TEST_CASE("evacuation: a primary in the domain is replaced by a server elsewhere")
{
    leader_fixture cell;
    cell.announce("p", "east");
    cell.announce("r1", "east");
    cell.announce("r2", "west");
    CHECK(cell.run().empty());
    REQUIRE(cell.state.apply(make_order("east")).ok());
    CHECK(cell.run() == "the primary is leaving");
}

TEST_CASE("evacuation: a primary without a server outside the domain stays")
{
    leader_fixture cell;
    cell.announce("p", "east");
    cell.announce("r1", "east");
    REQUIRE(cell.state.apply(make_order("east")).ok());
    CHECK(cell.run().empty());
}

TEST_CASE("evacuation: no server whose domain is unknown replaces the primary")
{
    // A new leader knows a recorded server's domain only once it has announced itself.
    leader_fixture cell;
    pb::command command;
    command.mutable_note()->set_database("kura");
    command.mutable_note()->set_seen_primary("p");
    for (const char* name : {"p", "r1"}) {
        pb::group_member& member = *command.mutable_note()->add_members();
        member.set_server(name);
        member.set_address(std::string("127.0.0.1:") + (name[0] == 'p' ? "1" : "2"));
    }
    REQUIRE(cell.state.apply(command).ok());
    cell.announce("p", "east");
    REQUIRE(cell.state.apply(make_order("east")).ok());
    CHECK(cell.run().empty());
    cell.announce("r1", "west");
    CHECK(cell.run() == "the primary is leaving");
}

TEST_CASE("evacuation: a primary in another domain stays")
{
    leader_fixture cell;
    cell.announce("p", "west");
    cell.announce("r1", "east");
    REQUIRE(cell.state.apply(make_order("east")).ok());
    CHECK(cell.run().empty());
}

TEST_CASE("evacuation: the leader and relays send the evacuated domains in every reply")
{
    leader_fixture cell;
    cell.announce("p", "east");
    REQUIRE(cell.state.apply(make_order("east")).ok());
    cell::relay relay(cell::relay_settings{"cell-1", "west", "tcp://relay"}, 1);
    const pb::follow_request asked = *relay.next_follow_request(at(0));
    pb::follow_reply reply = cell.leader.follow(asked, cell.state, cell.servers, at(10));
    REQUIRE(reply.evacuated_domains_size() == 1);
    CHECK(reply.evacuated_domains(0) == "east");
    CHECK(reply.evacuation_version() == 1);

    reply.add_relays()->set_endpoint("tcp://relay");
    reply.set_directory_complete(true);
    pb::group_lead& lead = *reply.add_leads();
    lead.set_group("kura");
    lead.set_server("p");
    relay.receive(reply, at(20));
    CHECK(relay.leads().empty()); // no observation reaches the evacuated primary
    pb::follow_request follower;
    follower.set_instance("entry-1");
    follower.set_incarnation(1);
    follower.set_sequence(1);
    const pb::follow_reply passed_on = relay.follow(follower, nullptr, at(30));
    REQUIRE(passed_on.evacuated_domains_size() == 1);
    CHECK(passed_on.evacuated_domains(0) == "east");
    CHECK(passed_on.evacuation_version() == 1);

    REQUIRE(cell.state.apply(make_order("east", true)).ok());
    const pb::follow_request next = *relay.next_follow_request(at(1'000));
    pb::follow_reply released = cell.leader.follow(next, cell.state, cell.servers, at(1'010));
    CHECK(released.evacuated_domains_size() == 0);
    CHECK(released.evacuation_version() == 2);
    released.add_relays()->set_endpoint("tcp://relay");
    *released.add_leads() = lead;
    relay.receive(released, at(1'020));
    CHECK(relay.leads().size() == 1);
}

TEST_CASE("pooler evacuations: an instance that missed an order applies the next state")
{
    pooler::evacuations known;
    const std::vector<std::string> east{"east"};
    const std::vector<std::string> west{"west"};
    CHECK(known.apply(east, 3, at(0)));
    // It missed the withdrawal of east and the evacuation of west.
    CHECK(known.apply(west, 5, at(1'000)));
    CHECK(!known.contains("east"));
    CHECK(known.contains("west"));
    CHECK(known.withdrawn_at("east") == at(1'000));
    CHECK(known.apply(east, 7, at(2'000)));
    CHECK(!known.withdrawn_at("east"));
    CHECK(known.withdrawn_at("west") == at(2'000));
}

TEST_CASE("pooler evacuations: a late reply does not revert a newer state")
{
    pooler::evacuations known;
    const std::vector<std::string> east{"east"};
    CHECK(!known.apply(std::vector<std::string>{}, 0, at(0)));
    CHECK(known.apply(east, 3, at(10)));
    CHECK(!known.apply(std::vector<std::string>{}, 2, at(20))); // of an old leader or a stale relay
    CHECK(!known.apply(east, 3, at(30)));
    CHECK(known.contains("east"));
    CHECK(known.apply(std::vector<std::string>{}, 4, at(40)));
    CHECK(!known.apply(east, 3, at(50)));
    CHECK(known.empty());
}

TEST_CASE("pooler evacuations: transactions get half of the bound from when it was learned")
{
    pooler::evacuations known;
    known.set_bound(clock::duration(5'000));
    const std::vector<std::string> east{"east"};
    const std::vector<std::string> both{"east", "west"};
    CHECK(known.apply(east, 1, at(0)));
    CHECK(known.apply(both, 2, at(1'000))); // does not extend the time of east
    CHECK(!known.must_end_transactions("east", at(2'499)));
    CHECK(known.must_end_transactions("east", at(2'500)));
    CHECK(!known.must_end_transactions("west", at(2'500)));
    CHECK(!known.must_end_transactions("north", at(9'000)));
}
