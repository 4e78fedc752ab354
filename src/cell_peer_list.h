// The live pooler instances of a fleet, by revision. Pure.
//
// The leader publishes the list, relays hold copies and pass it on, whole or as the changes since
// the revision that the receiver holds. A revision contains the term of the leader that published
// it, so that revisions of different leaders never coincide and later ones are higher.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead::cell {

// True if a peer can be sent messages and its fields are of plausible size.
[[nodiscard]] bool is_valid_peer(const pb::peer_address& peer) noexcept;

class peer_list {
  public:
    using peer_map = std::map<std::string, pb::peer_address, std::less<>>;

    // Publishes `live` under a new revision of `term`. False: it is the current list.
    bool publish(const peer_map& live, std::uint64_t term);

    // Applies the list or the changes in the leader's reply. False: there is nothing that applies
    // to the revision held here.
    bool apply(const pb::follow_reply& reply);

    // Adds what a receiver that holds revision `held` lacks.
    void add_to(pb::follow_reply& reply, std::uint64_t held) const;

    // Does the same, but sends the whole list to a receiver at most once per second. `sent_at` is
    // when this receiver last got it.
    void add_to(pb::follow_reply& reply, std::uint64_t held, clock::time_point& sent_at,
                clock::time_point now) const;

    // True if a receiver that holds revision `held` needs the whole list.
    [[nodiscard]] bool needs_complete(std::uint64_t held) const noexcept;

    [[nodiscard]] bool contains(std::string_view instance) const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size() - departed_; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

  private:
    struct entry {
        pb::peer_address peer; // `gone` once it has left
        std::uint64_t revision = 0;
    };

    [[nodiscard]] bool set(const pb::peer_address& peer, std::uint64_t revision);
    [[nodiscard]] bool replace(const peer_map& live, std::uint64_t revision);
    void forget_old_departures();

    std::map<std::string, entry, std::less<>> entries_;
    std::size_t departed_ = 0;
    std::uint64_t revision_ = 0;
    // Changes since a revision are known from `oldest_base_` on, except for the revisions between
    // two that a copy replaced as a whole: it did not see what changed twice in between.
    std::uint64_t oldest_base_ = 0;
    std::uint64_t gap_begin_ = 0;
    std::uint64_t gap_end_ = 0;
};

} // namespace primrosehead::cell
