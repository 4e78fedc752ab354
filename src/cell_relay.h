// Relays the leader's service to the pooler instances of a failure domain. Pure.
//
// Every control instance of a large fleet runs one. It follows the leader on behalf of its
// followers: it has one share of every organisation's limits, from which it grants tokens, it joins
// their reports, and it passes on the leader's confirmation of the newest document together with
// its age. The leader's work thus grows with the control instances instead of with the fleet, and
// followers keep getting tokens while a leader is being elected.
#pragma once

#include "cell_directory_copy.h"
#include "cell_fence_notice.h"
#include "cell_peer_list.h"
#include "cell_reply_pacer.h"
#include "commit_fence.h"
#include "commit_fence_holders.h"
#include "pooler_limit_table.h"
#include "primrosehead.pb.h"
#include "request_pacer.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead::cell {

struct relay_settings {
    std::string instance; // of the control instance
    std::string failure_domain;
    std::string endpoint; // on the bus
    clock::duration lease{3'500};
    double limit_tolerance = 0; // operations of an organisation allowed beyond its rate and burst
};

// A reply to a follower's token request that had to wait.
struct delayed_token_reply {
    bus_origin origin;
    pb::token_reply reply;
};

// The group's primary, as reported by the leader.
struct relay_lead {
    std::string group;
    std::string server;
    std::string address;
};

class relay {
  public:
    relay(relay_settings settings, std::uint64_t incarnation);

    // True once the leader has asked for relays and has confirmed a document version to this one.
    [[nodiscard]] bool is_serving() const noexcept
    {
        return is_enabled_ && confirmed_at_ != clock::time_point{};
    }

    // Handles a pooler instance's follow request. `stored` is the published document that this
    // control instance holds; it may be null.
    [[nodiscard]] pb::follow_reply follow(const pb::follow_request& request,
                                          const pb::published_record* stored,
                                          clock::time_point now);

    // Grants tokens from this relay's share. Returns none if the request has to wait for tokens.
    [[nodiscard]] std::optional<pb::token_reply>
    grant_tokens(const bus_origin& origin, const pb::token_request& request, clock::time_point now);

    // Returns the replies to waiting token requests that are due: tokens arrived, or the wait is
    // over.
    [[nodiscard]] std::vector<delayed_token_reply> take_due_replies(clock::time_point now);

    // Returns the request that is due to the leader, if any.
    [[nodiscard]] std::optional<pb::follow_request> next_follow_request(clock::time_point now);
    [[nodiscard]] std::optional<pb::token_request> next_token_request(clock::time_point now);

    void receive(const pb::follow_reply& reply, clock::time_point now);
    void receive_tokens(const pb::token_reply& reply, clock::time_point now);

    // Returns what has to be told at once about the fences in force, if there is a new one.
    [[nodiscard]] std::optional<fence_notice> take_fence_notice(clock::time_point now);

    // Applies the limits of the newest document.
    void set_document(std::shared_ptr<const document> current, clock::time_point now);

    // Records the log position that a group's primary returned to a request sent at
    // `requested_at`.
    void record_position(std::string_view group, std::string_view server, log_position position,
                         clock::time_point requested_at);

    // The primaries whose log positions the followers need, without those in evacuated failure
    // domains; empty while not serving.
    [[nodiscard]] std::vector<relay_lead> leads() const;

    [[nodiscard]] std::uint32_t live_followers(clock::time_point now) const;
    [[nodiscard]] clock::time_point confirmed_at() const noexcept { return confirmed_at_; }

    // Large replies in flight and those deferred so far.
    [[nodiscard]] const reply_pacer& large_replies() const noexcept { return reply_pacer_; }

  private:
    struct follower_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        clock::time_point seen_at;
        std::vector<pb::group_sighting> sightings;
        std::string endpoint; // empty: it can't be a home
        std::string failure_domain;
        bool is_leaving = false;
        clock::time_point peers_sent_at{}; // the whole list
    };
    // A follower as it was reported to the leader.
    struct reported_peer {
        std::string instance;
        std::string endpoint;
        std::string failure_domain;
        bool is_leaving = false;

        friend bool operator==(const reported_peer&, const reported_peer&) = default;
    };
    struct token_wait {
        bus_origin origin;
        std::string organisation;
        std::uint32_t tokens = 0;
        clock::time_point since;
    };
    struct observed_position {
        std::string server;
        log_position position;
        clock::time_point requested_at;
    };

    void add_large_parts(pb::follow_reply& reply, const pb::follow_request& request,
                         const pb::published_record* stored, clock::time_point now);
    void add_positions(pb::follow_reply& reply, clock::time_point now) const;
    [[nodiscard]] bool drop_expired_shares(clock::time_point now);
    [[nodiscard]] pb::token_amount grant(const token_wait& wait, std::uint32_t tokens);
    void join_sightings(pb::follow_request& request, clock::time_point now) const;
    [[nodiscard]] std::vector<reported_peer> live_peers(clock::time_point now) const;
    void report_peers(pb::follow_request& request, clock::time_point now);
    void confirm_report(const pb::follow_reply& reply, clock::time_point asked_at);
    void apply_fences(const pb::follow_reply& reply);
    [[nodiscard]] fence_reports applied_fences(clock::time_point now) const;

    relay_settings settings_;
    std::uint64_t incarnation_;
    std::map<std::string, follower_state, std::less<>> followers_;
    fence_map fences_;
    std::uint64_t fences_term_ = 0; // of the leader that sent them
    fence_holders fence_holders_{clock::time_point{}};
    std::map<std::string, fence_id, std::less<>> reported_fences_; // by group
    reply_pacer reply_pacer_;
    request_pacer request_pacer_; // of this relay's own requests to the leader
    pooler::limit_table limits_;
    std::deque<token_wait> token_waits_;
    std::map<std::string, clock::time_point, std::less<>> tokens_requested_at_; // by organisation
    std::set<std::string, std::less<>> exhausted_; // the leader had no tokens either
    clock::time_point top_up_requested_at_{};
    std::shared_ptr<const document> limits_document_;
    std::map<std::string, observed_position, std::less<>> positions_; // by group
    std::vector<reported_peer> reported_peers_;
    clock::time_point peers_reported_at_{};
    std::uint64_t peers_report_sequence_ = 0; // of the request that carried the report
    std::uint64_t peers_report_term_ = 0;     // of the leader that received it; 0: none yet

    // From the leader.
    bool is_enabled_ = false;
    pb::follow_reply latest_; // without shares, document and servers
    std::optional<pb::published_record> document_;
    directory_copy directory_;
    peer_list peers_;
    clock::time_point confirmed_at_{};

    std::uint64_t sequence_ = 0;
    std::uint64_t last_reply_sequence_ = 0;
    // The latest reply within `timely_round_trip`, and when its request was sent.
    std::uint64_t timely_sequence_ = 0;
    clock::time_point timely_request_at_{};
    clock::time_point sent_at_{};
    clock::time_point shares_sent_at_{};
};

} // namespace primrosehead::cell
