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

} // namespace

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
