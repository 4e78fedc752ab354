// Which pooler instances are the homes of a backend server: they own its connections, its queue and
// its order of service, and other instances forward operations to them. Pure.
//
// All instances that hold the same list of peers compute the same homes. Differing lists cost
// connections (two instances act as home for a moment), not correctness.
#pragma once

#include "document_regions.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class follow_reply;
class peer_address;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

struct home_address {
    std::string instance;
    std::string endpoint; // on the bus
    std::string failure_domain;

    friend bool operator==(const home_address&, const home_address&) = default;
};

class home_table {
  public:
    // `regions` maps failure domains to regions.
    home_table(std::string own_instance, std::map<std::string, std::string, std::less<>> regions,
               std::uint32_t homes_per_server);

    // Applies the list of live pooler instances, or its changes, in a reply of the leader or of a
    // relay. What does not apply to the revision held is ignored.
    void apply_peers(const pb::follow_reply& reply, clock::time_point now);

    [[nodiscard]] bool has_peer(std::string_view instance) const;
    [[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }

    // Returns the best homes of a server, best first, without suspected ones: instances of its
    // failure domain or, if there is none, of its region or, if there is none either, any. Empty if
    // every peer is suspected or none is known. Instances outside `allowed` are left out, because
    // an operation's text must not reach them.
    [[nodiscard]] std::vector<home_address> homes_of(std::string_view server,
                                                     std::string_view failure_domain,
                                                     std::string_view organisation,
                                                     clock::time_point now,
                                                     const region_set& allowed = {}) const;

    // True if this instance is one of the server's homes, for any organisation.
    [[nodiscard]] bool is_home(std::string_view server, std::string_view failure_domain,
                               clock::time_point now) const;

    // Suspects an instance that did not answer, for a time that doubles with every failure in a
    // row.
    void record_silence(std::string_view instance, clock::time_point now);
    void record_answer(std::string_view instance);

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    // Number of peers in replies that were ignored because they were malformed.
    [[nodiscard]] std::uint64_t malformed_count() const noexcept { return malformed_count_; }

  private:
    struct suspicion {
        std::uint32_t count = 0;
        clock::time_point until;
    };
    struct ranked_peer {
        std::uint64_t weight = 0;
        const home_address* peer = nullptr;
    };
    enum class scope { failure_domain, region, fleet };

    void set_peer(const pb::peer_address& peer);
    [[nodiscard]] bool is_suspected(std::string_view instance, clock::time_point now) const;
    [[nodiscard]] std::string_view region_of(std::string_view failure_domain) const;
    [[nodiscard]] bool is_in_scope(const home_address& peer, std::string_view failure_domain,
                                   scope candidates) const;
    [[nodiscard]] std::vector<ranked_peer> rank(std::string_view server,
                                                std::string_view failure_domain, scope candidates,
                                                std::string_view organisation,
                                                const region_set& allowed) const;
    [[nodiscard]] std::vector<ranked_peer> rank_unsuspected(std::string_view server,
                                                            std::string_view failure_domain,
                                                            std::string_view organisation,
                                                            clock::time_point now,
                                                            const region_set& allowed) const;

    std::string own_instance_;
    std::map<std::string, std::string, std::less<>> regions_; // by failure domain
    std::size_t homes_per_server_;
    std::map<std::string, home_address, std::less<>> peers_;
    std::map<std::string, suspicion, std::less<>> suspicions_;
    std::uint64_t revision_ = 0;
    std::uint64_t malformed_count_ = 0;
};

} // namespace primrosehead::pooler
