#include <primrosehead/ownership.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace primrosehead;

namespace {

std::vector<instance_name> make_instances(int count)
{
    std::vector<instance_name> instances;
    instances.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        instances.emplace_back("entry-" + std::to_string(index));
    }
    return instances;
}

} // namespace

TEST_CASE("owners are every instance once, whatever the order given")
{
    std::vector<instance_name> instances = make_instances(9);
    const server_name server("kura-ledger-1a");
    const std::vector<instance_name> owners = ranked_owners(server, instances);
    CHECK(owners.size() == instances.size());
    std::ranges::reverse(instances);
    CHECK(ranked_owners(server, instances) == owners);
    CHECK(ranked_owners(server, {}).empty());
}

TEST_CASE("when an owner goes, only its own servers move, each to the next in order")
{
    const std::vector<instance_name> instances = make_instances(9);
    const instance_name& gone = instances[4];
    std::vector<instance_name> rest = instances;
    std::erase(rest, gone);
    for (int index = 0; index < 200; ++index) {
        const server_name server("server-" + std::to_string(index));
        const std::vector<instance_name> before = ranked_owners(server, instances);
        const std::vector<instance_name> after = ranked_owners(server, rest);
        CHECK(after.front() == (before.front() == gone ? before[1] : before[0]));
    }
}

TEST_CASE("servers spread over the instances")
{
    const std::vector<instance_name> instances = make_instances(8);
    std::map<instance_name, int> owned;
    for (int index = 0; index < 8'000; ++index) {
        ++owned[ranked_owners(server_name("server-" + std::to_string(index)), instances).front()];
    }
    for (const auto& entry : owned) {
        CAPTURE(entry.first.text());
        CHECK(entry.second > 850);
        CHECK(entry.second < 1'150);
    }
}
