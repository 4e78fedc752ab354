#include <primrosehead/ownership.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <xxhash.h>

namespace primrosehead {

namespace {

struct scored_instance {
    std::uint64_t score = 0;
    instance_name instance;
};

// Names can't contain the separator's byte 0, so that no two pairs make the same text.
std::uint64_t rendezvous_score(const server_name& server, const instance_name& instance)
{
    std::string text = server.text();
    text += '\0';
    text += instance.text();
    return XXH3_64bits(text.data(), text.size());
}

bool has_higher_score(const scored_instance& left, const scored_instance& right)
{
    if (left.score != right.score) {
        return left.score > right.score;
    }
    return left.instance < right.instance;
}

} // namespace

std::vector<instance_name> ranked_owners(const server_name& server,
                                         std::span<const instance_name> instances)
{
    std::vector<scored_instance> scored;
    scored.reserve(instances.size());
    for (const instance_name& instance : instances) {
        scored.push_back({rendezvous_score(server, instance), instance});
    }
    std::ranges::sort(scored, has_higher_score);
    std::vector<instance_name> owners;
    owners.reserve(scored.size());
    for (scored_instance& candidate : scored) {
        owners.push_back(std::move(candidate.instance));
    }
    return owners;
}

} // namespace primrosehead
