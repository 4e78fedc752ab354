#include "pooler_home_table.h"

#include "primrosehead.pb.h"

#include <algorithm>
#include <utility>

namespace primrosehead::pooler {

namespace {

constexpr clock::duration suspicion_time{500};

} // namespace

home_table::home_table(const std::string& /*own_instance*/,
                       const std::map<std::string, std::string, std::less<>>& /*regions*/,
                       std::uint32_t /*homes_per_server*/)
{
}

void home_table::apply_peers(const pb::follow_reply& reply, clock::time_point /*now*/)
{
    if (reply.peers_revision() == 0 || reply.peers_revision() == revision_) {
        return;
    }
    revision_ = reply.peers_revision();
    peers_.clear();
    for (const pb::peer_address& peer : reply.peers()) {
        peers_[peer.instance()] = {peer.instance(), peer.endpoint()};
    }
}

bool home_table::has_peer(std::string_view instance) const
{
    return peers_.contains(instance);
}

std::vector<home_address> home_table::homes_of(std::string_view server,
                                               std::string_view /*failure_domain*/,
                                               std::string_view /*organisation*/,
                                               clock::time_point now) const
{
    std::vector<home_address> homes;
    for (const auto& [instance, address] : peers_) {
        const auto suspected = suspected_until_.find(instance);
        if (suspected == suspected_until_.end() || now >= suspected->second) {
            homes.push_back(address);
        }
    }
    const auto weight = [&](const home_address& home) {
        return std::hash<std::string>()(home.instance + "/" + std::string(server));
    };
    std::sort(homes.begin(), homes.end(), [&](const home_address& left, const home_address& right) {
        return weight(left) > weight(right);
    });
    return homes;
}

void home_table::record_silence(std::string_view instance, clock::time_point now)
{
    suspected_until_[std::string(instance)] = now + suspicion_time;
}

void home_table::record_answer(std::string_view instance)
{
    const auto found = suspected_until_.find(instance);
    if (found != suspected_until_.end()) {
        suspected_until_.erase(found);
    }
}

} // namespace primrosehead::pooler
