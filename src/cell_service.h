// The leader's service to the pooler instances: confirms the newest document, distributes the
// directory of backend servers, divides limits, and monitors each group's primary. Pure.
#pragma once

#include "cell_directory.h"
#include "cell_evacuations.h"
#include "cell_fence_notice.h"
#include "cell_peer_list.h"
#include "cell_reply_pacer.h"
#include "cell_share_allocator.h"
#include "cell_token_buckets.h"
#include "commit_fence.h"
#include "commit_fence_holders.h"
#include "document.h"
#include "primrosehead.pb.h"
#include "promotion_planner.h"

#include <primrosehead/clock.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

// The name under which the operators' document is published.
inline constexpr std::string_view document_name = "production";

struct service_settings {
    clock::duration instance_lease{3'500};        // validity of a reply
    clock::duration announcement_interval{1'200}; // of the backend servers
    double home_connections_per_instance = 0;     // as for the pooler instances
    // A leader serves fewer pooler instances than this without relays.
    std::uint32_t relays_from_instances = 80;
    std::map<std::string, std::string, std::less<>> regions; // by failure domain
};

struct group_action {
    std::string group;
    promotion::action action;
};

// Lives for one term of its instance as leader.
class service {
  public:
    service(service_settings settings, std::uint64_t term, clock::time_point elected_at);

    // Handles a pooler instance's follow request. The caller fills in the reply's
    // `control_endpoints`. A late or repeated request gets a reply with sequence 0, which renews
    // nothing.
    [[nodiscard]] pb::follow_reply follow(const pb::follow_request& request,
                                          const state_machine& state, const directory& servers,
                                          clock::time_point now);

    // Grants tokens for operations from the leader's part of the limits.
    [[nodiscard]] pb::token_reply grant_tokens(const pb::token_request& request,
                                               clock::time_point now);

    // Returns the actions that are due for the groups of `current`, which may be null.
    [[nodiscard]] std::vector<group_action> advance(const document* current,
                                                    const state_machine& state,
                                                    const directory& servers,
                                                    clock::time_point now);

    // Returns what has to be told at once about the fences in force, if there is a new one.
    [[nodiscard]] std::optional<fence_notice> take_fence_notice(clock::time_point now);

    // Returns null if there is no planner for the group.
    [[nodiscard]] promotion::planner* find_planner(std::string_view group);
    [[nodiscard]] const std::map<std::string, promotion::planner, std::less<>>&
    planners() const noexcept
    {
        return planners_;
    }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    // Returns commands that register new instances in the replicated state; only registered
    // instances get shares. While relays are in use, only these are registered.
    [[nodiscard]] std::vector<pb::command> pending_registrations(const state_machine& state,
                                                                 clock::time_point now);

    // Number of pooler instances that follow this leader or a relay.
    [[nodiscard]] std::uint32_t live_instances(clock::time_point now) const;

    // Large replies in flight and those deferred so far.
    [[nodiscard]] const reply_pacer& large_replies() const noexcept { return reply_pacer_; }

    // True while the fleet is so large that pooler instances follow relays.
    [[nodiscard]] bool uses_relays() const noexcept { return uses_relays_; }

  private:
    struct received_request {
        std::uint64_t sequence = 0;
        clock::time_point received_at;
    };
    struct instance_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        clock::time_point last_seen_at;
        clock::time_point registration_proposed_at{};
        clock::time_point first_seen_at;
        std::string failure_domain;
        bool is_relay = false;
        bool is_relaying = false; // of a relay: it serves followers
        bool is_leaving = false;
        std::string endpoint;        // of a relay, or of a pooler instance that can be a home
        std::uint32_t followers = 0; // of a relay
        std::vector<pb::peer_address> peers;               // of a relay: followers
        clock::time_point peers_sent_at{};                 // the whole list
        std::deque<received_request> unconfirmed_requests; // oldest first
    };

    [[nodiscard]] bool is_directory_complete(clock::time_point now) const;
    [[nodiscard]] std::vector<promotion::member>
    members_of(const directory& servers, const pb::group_record* stored, std::string_view group,
               const domain_set& evacuated, const region_set& regions, clock::time_point now);
    void record_membership(const std::string& group, const std::vector<promotion::member>& members,
                           const pb::group_record* stored, clock::time_point now,
                           std::vector<group_action>& actions);
    void confirm_replies(const pb::follow_request& request, instance_state& sender,
                         clock::time_point now);
    void update_central_limits(const document& current, clock::time_point now);
    void update_fences(const state_machine& state, clock::time_point now);
    void handle_primary_reports(const pb::follow_request& request, clock::time_point now);
    void update_relay_use(clock::time_point now);
    void update_home_groups(const document& current, std::uint32_t instances);
    void add_positions(pb::follow_reply& reply, clock::time_point now) const;
    void add_relays(pb::follow_reply& reply, bool is_for_relay, clock::time_point now) const;
    void add_large_parts(pb::follow_reply& reply, const pb::follow_request& request,
                         const state_machine& state, const directory& servers,
                         clock::time_point now);
    void add_directory(pb::follow_reply& reply, const pb::follow_request& request,
                       const directory& servers, clock::time_point now);
    void record_peers(const pb::follow_request& request, instance_state& sender);
    [[nodiscard]] peer_list::peer_map live_peers(clock::time_point now) const;
    // True while instances may need the list of live ones.
    [[nodiscard]] bool tells_peers() const noexcept
    {
        return uses_relays_ || !home_groups_.empty();
    }
    void update_peers(clock::time_point now);

    service_settings settings_;
    std::uint64_t term_;
    clock::time_point elected_at_;
    share_allocator share_allocator_;
    token_buckets token_buckets_;
    reply_pacer reply_pacer_;
    std::uint64_t central_limits_version_ = 0; // version of the document that set them
    std::uint32_t central_ppm_ = 0;            // the leader's part of rates, in millionths
    bool uses_relays_ = false;
    clock::time_point last_large_at_; // when the fleet last was large enough for relays
    peer_list peers_;
    clock::time_point peers_checked_at_{};
    clock::time_point peers_published_at_{};
    bool has_departure_ = false; // a peer that is listed has begun to leave
    std::map<std::string, instance_state, std::less<>> instances_;
    std::map<std::string, promotion::planner, std::less<>> planners_;
    fence_map fences_;
    bool has_fences_ = false; // they are known
    fence_holders fence_holders_;
    std::set<std::string, std::less<>> home_groups_; // whose backend servers have homes
    std::map<std::string, clock::time_point, std::less<>> membership_recorded_at_; // by group
    std::map<std::string, clock::time_point, std::less<>>
        unannounced_since_; // by server; recorded members only
};

} // namespace primrosehead::cell
