#include "cell_peer_list.h"

#include <algorithm>
#include <vector>

namespace primrosehead::cell {

namespace {

constexpr int term_shift = 32; // a leader publishes far fewer revisions than 2^32
// Departures of several minutes, also when every instance of a fleet is replaced.
constexpr std::size_t max_departures = 1'024;
constexpr std::size_t max_field_size = 256;
// The whole list of a large fleet takes a noticeable part of a link's capacity for this long.
constexpr clock::duration complete_resend_interval{1'000};

bool is_same_address(const pb::peer_address& left, const pb::peer_address& right)
{
    return left.endpoint() == right.endpoint() && left.failure_domain() == right.failure_domain();
}

} // namespace

bool is_valid_peer(const pb::peer_address& peer) noexcept
{
    return !peer.instance().empty() && peer.instance().size() <= max_field_size &&
           peer.endpoint().size() <= max_field_size &&
           peer.failure_domain().size() <= max_field_size &&
           (peer.gone() || !peer.endpoint().empty());
}

// Returns true if the entry has changed.
bool peer_list::set(const pb::peer_address& peer, std::uint64_t revision)
{
    const auto [found, is_new] = entries_.try_emplace(peer.instance());
    entry& known = found->second;
    const bool was_live = !is_new && !known.peer.gone();
    const bool is_live = !peer.gone();
    if (!is_new && was_live == is_live && (!is_live || is_same_address(known.peer, peer))) {
        return false;
    }
    departed_ += is_live ? 0 : 1;
    departed_ -= !is_new && !was_live ? 1 : 0;
    known.peer = peer;
    known.revision = revision;
    if (!is_live) {
        known.peer.clear_endpoint();
        known.peer.clear_failure_domain();
    }
    return true;
}

bool peer_list::replace(const peer_map& live, std::uint64_t revision)
{
    bool has_changed = false;
    for (const auto& [instance, peer] : live) {
        has_changed = set(peer, revision) || has_changed;
    }
    for (auto& [instance, known] : entries_) {
        if (!known.peer.gone() && !live.contains(instance)) {
            pb::peer_address departed;
            departed.set_instance(instance);
            departed.set_gone(true);
            has_changed = set(departed, revision) || has_changed;
        }
    }
    return has_changed;
}

bool peer_list::publish(const peer_map& live, std::uint64_t term)
{
    const std::uint64_t next = std::max(revision_, term << term_shift) + 1;
    if (!replace(live, next)) {
        return false;
    }
    if (revision_ == 0) {
        oldest_base_ = next; // revisions of earlier leaders are unknown
    }
    revision_ = next;
    forget_old_departures();
    return true;
}

bool peer_list::apply(const pb::follow_reply& reply)
{
    const std::uint64_t revision = reply.peers_revision();
    const std::uint64_t base = reply.peers_base_revision();
    if (revision <= revision_ || base > revision_) {
        return false;
    }
    if (base > 0) {
        for (const pb::peer_address& peer : reply.peers()) {
            if (is_valid_peer(peer)) {
                static_cast<void>(set(peer, revision));
            }
        }
    }
    else {
        peer_map live;
        for (const pb::peer_address& peer : reply.peers()) {
            if (is_valid_peer(peer) && !peer.gone()) {
                live.insert_or_assign(peer.instance(), peer);
            }
        }
        static_cast<void>(replace(live, revision));
        oldest_base_ = revision_ == 0 ? revision : std::max(oldest_base_, gap_end_);
        gap_begin_ = revision_;
        gap_end_ = revision;
    }
    revision_ = revision;
    forget_old_departures();
    return true;
}

// Keeps the list bounded: a receiver that holds an older revision than the forgotten departures
// gets the whole list.
void peer_list::forget_old_departures()
{
    if (departed_ <= max_departures) {
        return;
    }
    std::vector<std::uint64_t> revisions;
    for (const auto& [instance, known] : entries_) {
        if (known.peer.gone()) {
            revisions.push_back(known.revision);
        }
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    oldest_base_ = std::max(oldest_base_, *middle);
    departed_ -= std::erase_if(entries_, [limit = *middle](const auto& item) {
        return item.second.peer.gone() && item.second.revision <= limit;
    });
}

bool peer_list::needs_complete(std::uint64_t held) const noexcept
{
    const bool is_in_gap = held > gap_begin_ && held < gap_end_;
    return held < revision_ && (held == 0 || held < oldest_base_ || is_in_gap);
}

void peer_list::add_to(pb::follow_reply& reply, std::uint64_t held) const
{
    if (revision_ == 0 || held >= revision_) {
        return;
    }
    const bool is_complete = needs_complete(held);
    reply.set_peers_revision(revision_);
    reply.set_peers_base_revision(is_complete ? 0 : held);
    for (const auto& [instance, known] : entries_) {
        if (is_complete ? !known.peer.gone() : known.revision > held) {
            *reply.add_peers() = known.peer;
        }
    }
}

void peer_list::add_to(pb::follow_reply& reply, std::uint64_t held, clock::time_point& sent_at,
                       clock::time_point now) const
{
    if (needs_complete(held)) {
        if (now - sent_at < complete_resend_interval) {
            return;
        }
        sent_at = now;
    }
    add_to(reply, held);
}

bool peer_list::contains(std::string_view instance) const
{
    const auto found = entries_.find(instance);
    return found != entries_.end() && !found->second.peer.gone();
}

} // namespace primrosehead::cell
