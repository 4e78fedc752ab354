#include "pooler_home_table.h"

#include "cell_peer_list.h"
#include "primrosehead.pb.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <xxhash.h>

namespace primrosehead::pooler {

namespace {

constexpr clock::duration min_suspicion{500};
constexpr clock::duration max_suspicion{4'000};
constexpr std::uint32_t max_doublings = 3;
// An operation is retried at few homes: its deadline ends sooner than a longer list.
constexpr std::size_t alternatives = 3;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

home_table::home_table(std::string own_instance,
                       std::map<std::string, std::string, std::less<>> regions,
                       std::uint32_t homes_per_server)
    : own_instance_(std::move(own_instance)), regions_(std::move(regions)),
      homes_per_server_(std::max(1U, homes_per_server))
{
}

void home_table::set_peer(const pb::peer_address& peer)
{
    if (!cell::is_valid_peer(peer)) {
        ++malformed_count_;
    }
    else if (peer.gone()) {
        peers_.erase(peer.instance());
    }
    else {
        peers_.insert_or_assign(
            peer.instance(), home_address{peer.instance(), peer.endpoint(), peer.failure_domain()});
    }
}

void home_table::apply_peers(const pb::follow_reply& reply, clock::time_point /*now*/)
{
    const std::uint64_t base = reply.peers_base_revision();
    if (reply.peers_revision() <= revision_ || base > revision_) {
        return; // nothing new, or changes of a list that is not held: asked for again
    }
    if (base == 0) {
        peers_.clear();
    }
    for (const pb::peer_address& peer : reply.peers()) {
        set_peer(peer);
    }
    revision_ = reply.peers_revision();
    // An instance that comes back is a new process.
    std::erase_if(suspicions_, [this](const auto& item) { return !has_peer(item.first); });
}

bool home_table::has_peer(std::string_view instance) const
{
    return peers_.find(instance) != peers_.end();
}

bool home_table::is_suspected(std::string_view instance, clock::time_point now) const
{
    const auto found = suspicions_.find(instance);
    return found != suspicions_.end() && now < found->second.until;
}

std::string_view home_table::region_of(std::string_view failure_domain) const
{
    const auto found = regions_.find(failure_domain);
    return found == regions_.end() ? std::string_view() : std::string_view(found->second);
}

bool home_table::is_in_scope(const home_address& peer, std::string_view failure_domain,
                             scope candidates) const
{
    switch (candidates) {
    case scope::failure_domain:
        return peer.failure_domain == failure_domain;
    case scope::region: {
        const std::string_view region = region_of(failure_domain);
        return !region.empty() && region_of(peer.failure_domain) == region;
    }
    case scope::fleet:
        break;
    }
    return true;
}

// Rendezvous hashing: an instance that leaves moves only the servers that it was the home of.
std::vector<home_table::ranked_peer>
home_table::rank(std::string_view server, std::string_view failure_domain, scope candidates,
                 std::string_view organisation, const region_set& allowed) const
{
    const auto is_better = [](const ranked_peer& left, const ranked_peer& right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : left.peer->instance < right.peer->instance;
    };
    const std::uint64_t seed = hash_of(server, 0);
    std::vector<ranked_peer> ranked;
    for (const auto& [instance, peer] : peers_) {
        if (is_in_scope(peer, failure_domain, candidates) &&
            allowed.contains(region_of(peer.failure_domain))) {
            ranked.push_back({hash_of(instance, seed), &peer});
        }
    }
    std::sort(ranked.begin(), ranked.end(), is_better);
    if (homes_per_server_ > 1 && !organisation.empty()) {
        const std::size_t homes = std::min(homes_per_server_, ranked.size());
        const std::uint64_t organisation_seed = hash_of(organisation, seed);
        const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(homes);
        std::for_each(ranked.begin(), end, [&](ranked_peer& each) {
            each.weight = hash_of(each.peer->instance, organisation_seed);
        });
        std::sort(ranked.begin(), end, is_better);
    }
    return ranked;
}

std::vector<home_table::ranked_peer> home_table::rank_unsuspected(std::string_view server,
                                                                  std::string_view failure_domain,
                                                                  std::string_view organisation,
                                                                  clock::time_point now,
                                                                  const region_set& allowed) const
{
    for (const scope candidates : std::array{scope::failure_domain, scope::region, scope::fleet}) {
        std::vector<ranked_peer> ranked =
            rank(server, failure_domain, candidates, organisation, allowed);
        std::erase_if(ranked, [&](const ranked_peer& each) {
            return is_suspected(each.peer->instance, now);
        });
        if (!ranked.empty()) {
            return ranked;
        }
    }
    return {};
}

std::vector<home_address> home_table::homes_of(std::string_view server,
                                               std::string_view failure_domain,
                                               std::string_view organisation, clock::time_point now,
                                               const region_set& allowed) const
{
    std::vector<ranked_peer> ranked =
        rank_unsuspected(server, failure_domain, organisation, now, allowed);
    ranked.resize(std::min(ranked.size(), homes_per_server_ + alternatives));
    std::vector<home_address> homes;
    homes.reserve(ranked.size());
    std::transform(ranked.begin(), ranked.end(), std::back_inserter(homes),
                   [](const ranked_peer& each) { return *each.peer; });
    return homes;
}

bool home_table::is_home(std::string_view server, std::string_view failure_domain,
                         clock::time_point now) const
{
    const std::vector<ranked_peer> ranked = rank_unsuspected(server, failure_domain, {}, now, {});
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), homes_per_server_));
    return std::any_of(ranked.begin(), end, [this](const ranked_peer& each) {
        return each.peer->instance == own_instance_;
    });
}

void home_table::record_silence(std::string_view instance, clock::time_point now)
{
    if (instance == own_instance_ || !has_peer(instance) || is_suspected(instance, now)) {
        return; // calls that wait at the same time count once
    }
    suspicion& state = suspicions_[std::string(instance)];
    const std::uint32_t doublings = std::min(state.count, max_doublings);
    state.until = now + std::min(max_suspicion, min_suspicion * (1U << doublings));
    ++state.count;
}

void home_table::record_answer(std::string_view instance)
{
    const auto found = suspicions_.find(instance);
    if (found != suspicions_.end()) {
        suspicions_.erase(found);
    }
}

} // namespace primrosehead::pooler
