#include <primrosehead/ownership.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <xxhash.h>

namespace primrosehead {

namespace {

struct candidate {
    std::uint64_t weight = 0;
    const instance_name* instance = nullptr;
};

std::uint64_t weight_of(const instance_name& instance, const server_name& server)
{
    std::string text = instance.text();
    text += '\0';
    text += server.text();
    return XXH64(text.data(), text.size(), 0);
}

bool goes_before(const candidate& left, const candidate& right)
{
    if (left.weight != right.weight) {
        return left.weight > right.weight;
    }
    return *left.instance < *right.instance;
}

} // namespace

std::vector<instance_name> owners_of(const server_name& server,
                                     std::span<const instance_name> instances)
{
    std::vector<candidate> candidates;
    candidates.reserve(instances.size());
    for (const instance_name& instance : instances) {
        candidates.push_back({weight_of(instance, server), &instance});
    }
    std::ranges::sort(candidates, goes_before);
    std::vector<instance_name> owners;
    owners.reserve(candidates.size());
    for (const candidate& each : candidates) {
        owners.push_back(*each.instance);
    }
    return owners;
}

} // namespace primrosehead
