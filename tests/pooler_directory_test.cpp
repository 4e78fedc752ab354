// Tests of a pooler instance whose directory has entries of another writer.
#include "follow_replies.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

pb::server_announcement announcement(std::string_view server, std::string_view group,
                                     std::uint64_t sequence = 1)
{
    pb::server_announcement message;
    message.set_server(std::string(server));
    message.set_group(std::string(group));
    message.set_address("127.0.0.1:9000");
    message.set_failure_domain("zone");
    message.set_slots(3);
    message.set_sequence(sequence);
    return message;
}

std::size_t count_lines(const event_log& events, std::string_view text)
{
    const std::string lines = events.buffered();
    std::size_t count = 0;
    for (std::size_t found = lines.find(text); found != std::string::npos;
         found = lines.find(text, found + 1)) {
        ++count;
    }
    return count;
}

// Lists a start of server "s", then its deregistration. Returns the announcement of the start.
pb::server_announcement list_and_deregister(pooler_fixture& instance)
{
    pb::server_announcement known = announcement("s", "g", 5);
    known.set_born_ms(100);
    pb::server_announcement gone = known;
    gone.set_gone(true);
    instance.connections.set_servers({&known, 1}, true, clock::now());
    instance.connections.set_servers({&gone, 1}, true, clock::now());
    return known;
}

} // namespace

TEST_CASE("pooler directory: an entry of another writer is skipped, the others hold")
{
    pooler_fixture instance;
    std::vector<pb::server_announcement> servers{announcement("a", "g"), announcement("z", "g")};
    std::vector<pb::server_announcement> odd;
    odd.reserve(7);
    for (int number = 0; number < 7; ++number) {
        odd.push_back(announcement("odd-" + std::to_string(number), "g"));
    }
    odd[0].set_server("o d");
    odd[1].set_server(std::string(3'000'000, 'o'));
    odd[2].set_group("");
    odd[3].set_address("127.0.0.1:65536");
    odd[4].set_address("somewhere:80");
    odd[5].set_slots(4'294'967'295);
    odd[6].set_warm_up_left_ms(4'294'967'295);
    for (const pb::server_announcement& each : odd) {
        std::vector<pb::server_announcement> listed = servers;
        listed.insert(listed.begin() + 1, each);
        for (int repeats = 0; repeats < 100; ++repeats) {
            instance.connections.set_servers(listed, true, clock::now());
        }
        CHECK(instance.connections.find_server("g", "a") != nullptr);
        CHECK(instance.connections.find_server("g", "z") != nullptr);
        CHECK(instance.connections.find_server(each.group(), each.server()) == nullptr);
    }
    CHECK(instance.events.buffered().size() < 10'000);
    CHECK(count_lines(instance.events, "server_ignored") == odd.size());
}

TEST_CASE("pooler directory: a reply with an entry of another writer is followed")
{
    pooler_fixture instance;
    instance.confirm(100);
    pb::follow_reply reply = make_follow_reply(100);
    reply.set_directory_revision(2);
    reply.set_directory_complete(true);
    add_server(reply, "server-1", instance.server.address()).set_is_primary(true);
    add_server(reply, "odd", "127.0.0.1:99999").set_is_primary(true);
    add_server(reply, "odd 2", "127.0.0.1:9000").set_slots(4'294'967'295);
    instance.control.receive(reply, clock::now());
    const std::string answers = instance.exchange(
        "OPEN db secret\r\nRUN w1 PUT a 1\r\nRUN w2 PUT b 1\r\n", clock::duration(200));
    CHECK(answers.find("not run") == std::string::npos);
    CHECK(instance.server.received().size() == 2);
    CHECK(instance.connections.find_server("g", "odd") == nullptr);
}

TEST_CASE("pooler directory: a server that is announced for another group leaves the first one")
{
    pooler_fixture instance;
    const std::vector<pb::server_announcement> before{announcement("s", "g", 1)};
    const std::vector<pb::server_announcement> odd{announcement("s", "h", 2)};
    const std::vector<pb::server_announcement> after{announcement("s", "g", 3)};
    instance.connections.set_servers(before, false, clock::now());
    instance.connections.set_servers(odd, false, clock::now());
    CHECK(instance.connections.find_server("g", "s") == nullptr);
    CHECK(instance.connections.find_server("h", "s") != nullptr);
    instance.connections.set_servers(after, false, clock::now());
    CHECK(instance.connections.find_server("g", "s") != nullptr);
    CHECK(instance.connections.find_server("h", "s") == nullptr);
}

TEST_CASE("pooler directory: an outdated announcement does not make a leaving server ready")
{
    pooler_fixture instance;
    pb::server_announcement leaving = announcement("s", "g", 5);
    leaving.set_leaving(true);
    leaving.set_leaving_ms(2'000);
    leaving.set_born_ms(100);
    pb::server_announcement outdated = announcement("s", "g", 4);
    outdated.set_born_ms(100);
    SUBCASE("of the same start") {}
    SUBCASE("of an earlier start")
    {
        outdated.set_born_ms(50);
        outdated.set_sequence(9);
    }
    instance.connections.set_servers({&leaving, 1}, true, clock::now());
    instance.connections.set_servers({&outdated, 1}, true, clock::now());
    const auto known = instance.connections.find_server("g", "s");
    REQUIRE(known);
    CHECK(known->is_leaving());
    CHECK(known->born_ms == 100);

    pb::server_announcement restarted = announcement("s", "g", 1);
    restarted.set_born_ms(200);
    instance.connections.set_servers({&restarted, 1}, true, clock::now());
    CHECK(!instance.connections.find_server("g", "s")->is_leaving());
}

TEST_CASE("pooler directory: an outdated announcement does not bring back a deregistered server")
{
    pooler_fixture instance;
    pb::server_announcement known = list_and_deregister(instance);
    instance.connections.set_servers({&known, 1}, true, clock::now());
    CHECK(instance.connections.find_server("g", "s") == nullptr);
    known.set_born_ms(200);
    instance.connections.set_servers({&known, 1}, true, clock::now());
    CHECK(instance.connections.find_server("g", "s") != nullptr);
}

TEST_CASE("pooler directory: a deregistration of an earlier start removes no running server")
{
    pooler_fixture instance;
    pb::server_announcement running = announcement("s", "g", 5);
    running.set_born_ms(200);
    pb::server_announcement gone = running;
    gone.set_gone(true);
    SUBCASE("of an earlier start")
    {
        gone.set_born_ms(100);
    }
    SUBCASE("of the same start, before its latest announcement")
    {
        gone.set_sequence(4);
    }
    for (const bool is_complete : {true, false}) {
        instance.connections.set_servers({&running, 1}, true, clock::now());
        instance.connections.set_servers({&gone, 1}, is_complete, clock::now());
        CHECK(instance.connections.find_server("g", "s") != nullptr);
    }
}

TEST_CASE("pooler directory: a start that goes on announcing itself is used again")
{
    pooler_fixture instance;
    pb::server_announcement known = list_and_deregister(instance);
    CHECK(instance.connections.find_server("g", "s") == nullptr);
    known.set_sequence(6);
    instance.connections.set_servers({&known, 1}, true, clock::now());
    CHECK(instance.connections.find_server("g", "s") != nullptr);
}

TEST_CASE("pooler directory: groups of entries that are gone are not kept")
{
    pooler_fixture instance;
    instance.confirm(100);
    const std::size_t groups = instance.connections.groups().size();
    std::vector<pb::server_announcement> listed{announcement("server-1", "g", 2)};
    listed.front().set_address(instance.server.address());
    for (int number = 0; number < 200; ++number) {
        std::vector<pb::server_announcement> with_odd = listed;
        with_odd.push_back(announcement("odd", "odd-" + std::to_string(number)));
        instance.connections.set_servers(with_odd, true, clock::now());
    }
    instance.connections.set_servers(listed, true, clock::now());
    CHECK(instance.connections.groups().size() == groups);
    CHECK(instance.connections.find_server("g", "server-1") != nullptr);
}
