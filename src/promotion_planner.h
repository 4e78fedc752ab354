// Replaces the primary of a database group whose promotions a platform performs. Pure: takes the
// answers of servers, instances and the platform, returns actions.
//
// A commit is acknowledged once one replica has received it, so a server can be promoted without
// loss if it has every acknowledged commit and no further commit can be acknowledged without it.
// The planner pauses every other replica, waits until the candidate has received what they have,
// and requests the promotion with a number committed for this decision alone.
//
// The platform may carry out a request seconds later, and refuses it only once it has accepted one
// with a higher number. So a request is recorded before it is sent, the other replicas are kept
// paused until it has taken effect, a decision ends only when the platform has accepted its number,
// and a leader that finds a decision unfinished requests the promotion of the same server again.
//
// A replica that restarts or joins receives commits in spite of the pauses, so a promotion is
// requested only while a fence with its candidate is in force (commit_fence.h).
#pragma once

#include "commit_fence.h"
#include "line_answer.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace primrosehead::promotion {

// A server of the group that has not deregistered. A new `born_ms` means that it restarted,
// possibly without its log.
struct member {
    std::string server;
    std::string address;
    bool is_leaving = false;
    bool claims_primary = false;
    std::uint64_t born_ms = 0;
    bool is_outside_regions = false;            // of those that all routes of the group allow
    std::optional<clock::duration> leaving_for; // none: not leaving, or unknown
};

// The group's latest decision in the replicated state.
struct decision_record {
    std::uint64_t number = 0; // 0 if there is none yet
    std::string primary;      // empty while the decision is in progress
    // Servers whose promotion was requested since the last finished decision, the latest one last.
    std::vector<std::string> requested;
    std::vector<std::string> resuming; // servers that may carry out an order to resume late
};

// What is recorded of the group in the replicated state, for later leaders.
struct recorded_group {
    std::string primary;
    std::vector<member> members;
    log_position required; // a server is promoted only if it has received this position
};
struct record_members {
    recorded_group group;
};

// Checks whether the server is the primary, by beginning a transaction that only a primary accepts.
struct check_primary {
    std::string server;
    std::string address;
};
struct check_status {
    std::string server;
    std::string address;
};
struct pause_replica {
    std::string server;
    std::string address;
    std::uint64_t term = 0;
    std::uint64_t number = 0; // of the decision
};
struct demote_primary {
    std::string server;
    std::string address;
    std::uint64_t term = 0;
    std::uint64_t number = 0;
};
struct resume_replica {
    std::string server;
    std::string address;
    std::uint64_t number = 0; // of the latest decision
};
// Commits a new decision.
struct begin_decision {
    std::uint64_t number = 0;
    std::string reason;
};
// Commits that the promotion of the server is about to be requested.
struct record_request {
    std::string server;
    std::uint64_t number = 0;
};
// Commits which servers may carry out an order to resume late, before one is sent.
struct record_resuming {
    std::vector<std::string> servers;
};
// What a request for a promotion is based on, for the log.
struct promotion_evidence {
    std::string primary; // the server to be replaced, or the candidate if it is confirmed
    log_position received;
    std::map<std::string, log_position> paused; // the other replicas
    std::optional<log_position> demoted;        // log of the old primary
    std::optional<clock::duration> leaving_for; // of the candidate
};
// Requests a promotion from the platform.
struct request_promotion {
    std::string server;
    std::uint64_t number = 0;
    promotion_evidence evidence;
};
// Another server is regarded as the primary. For the log.
struct report_primary {
    std::string server; // empty: none
    std::string previous;
    log_position position;
};
// Commits that the server is the primary.
struct finish_decision {
    std::string server;
    std::string address;
    std::uint64_t number = 0;
    log_position position;
};

using action = std::variant<check_primary, check_status, pause_replica, demote_primary,
                            resume_replica, begin_decision, request_promotion, finish_decision,
                            record_members, record_request, record_resuming, report_primary>;

// The fence that has to be in force before the next promotion is requested.
struct wanted_fence {
    std::uint64_t serial = 0; // grows with each change; 0: not applied by this planner
    std::set<std::string, std::less<>> candidates;
};

enum class promotion_outcome { accepted, refused, unknown };

// An instance's view of the primary.
struct primary_report {
    std::string server;
    std::optional<clock::duration> reached_ago; // time since it last acted as the primary
    clock::duration failing_for{0};
    std::uint32_t instances = 1; // that the report stands for
};

struct planner_settings {
    clock::duration check_interval{250};
    // Keeps a connection open to every replica: during a failover a new one may be unavailable.
    clock::duration replica_check_interval{1'000};
    // Covers two checks without an answer, each of which times out after 400 ms.
    clock::duration primary_timeout{900};
    // A refused connection proves that nothing listens. Two checks rule out a restart.
    clock::duration refused_timeout{350};
    // Reports up to this age override the control leader's own failing checks.
    clock::duration report_max_age{600};
    // Longer than a statement timeout, as a single write may time out on a healthy primary.
    clock::duration failing_threshold{1'500};
    // Fewer failing instances than this part of the fleet are no sign of a failing primary: without
    // traffic nobody reports that it works.
    std::uint32_t min_failing_divisor = 20;
    clock::duration order_retry_interval{250};
    clock::duration status_timeout{300};   // how long to wait for the status of every replica
    clock::duration catch_up_timeout{400}; // how long the candidate may lag the paused replicas
    clock::duration pause_timeout{800};
    clock::duration request_retry_interval{700};
    clock::duration effect_timeout{1'500}; // from an accepted request to its effect
    clock::duration confirmation_timeout{2'500};
    // After a decision, if an earlier request that the platform accepted may still take effect.
    clock::duration resume_delay{2'000};
    clock::duration cooldown{1'500}; // after a change, unless the primary is down
};

class planner {
  public:
    // The recorded primary is assumed to be the primary until a check contradicts it.
    planner(std::string group, recorded_group recorded, planner_settings settings,
            clock::time_point now);

    // Answers of servers. `sent_at` is the time at which the request was sent.
    void on_primary(std::string_view server, log_position position, clock::time_point sent_at,
                    clock::time_point now);
    void on_not_primary(std::string_view server, clock::time_point now);
    void on_unreachable(std::string_view server, bool refused, clock::time_point now);
    void on_status(std::string_view server, const server_status& status, clock::time_point sent_at,
                   clock::time_point now);
    // `number`: of the decision that the order belongs to.
    void on_paused(std::string_view server, std::uint64_t number, const server_status& status,
                   clock::time_point now);
    void on_demoted(std::string_view server, std::uint64_t number, const server_status& status,
                    clock::time_point now);

    void on_resumed(std::string_view server, const server_status& status, clock::time_point now);
    void on_promotion_answer(std::string_view server, std::uint64_t number,
                             promotion_outcome outcome, clock::time_point now);
    // All instances that may confirm commits to callers apply the fence `serial`. `confirmed` is
    // the newest position that they confirmed before, as far as they told.
    void on_fence_applied(std::uint64_t serial, log_position confirmed, clock::time_point now);

    // Sets the number of instances that use the group, whether or not they report about it.
    void set_fleet_size(std::uint32_t instances) noexcept { fleet_size_ = instances; }

    void on_primary_report(std::string_view instance, const primary_report& report,
                           clock::time_point now);

    [[nodiscard]] std::vector<action> advance(const std::vector<member>& members,
                                              const decision_record& record, clock::time_point now);

    // None if no promotion is or may be requested.
    [[nodiscard]] const std::optional<wanted_fence>& fence() const noexcept { return fence_; }

    // Returns whether the primary has not answered yet since a member left.
    [[nodiscard]] bool is_departure_open() const noexcept { return member_left_at_.has_value(); }
    [[nodiscard]] log_position required_position() const noexcept { return required_position_; }

    // Returns the last known primary; empty if there is none.
    [[nodiscard]] const std::string& primary() const noexcept { return primary_; }
    [[nodiscard]] log_position primary_position() const noexcept { return primary_position_; }
    // When the latest request was sent that the primary answered as primary.
    [[nodiscard]] clock::time_point primary_confirmed_at() const noexcept
    {
        return primary_confirmed_at_;
    }
    [[nodiscard]] std::string_view phase() const noexcept;

  private:
    enum class phase_kind { steady, committing, fencing, calling, confirming };

    struct server_state {
        clock::time_point primary_checked_at{};
        clock::time_point status_checked_at{};
        clock::time_point ordered_at{};
        std::optional<clock::time_point> failing_since;
        bool refused = false;
        std::optional<server_status> status;
        clock::time_point status_sent_at{};
        log_position reported; // in the latest status, also of an earlier decision
        std::uint64_t reported_term = 0;
        std::optional<log_position> paused_position;  // in this decision
        std::optional<log_position> demoted_position; // in this decision
        std::uint64_t demoted_term = 0;
        bool is_pause_verified = false; // recently, and the server has answered since
        clock::time_point obeyed_at{};  // when one of the two was set
        std::optional<clock::time_point> resume_sent_at; // the latest one, until it is answered
        clock::time_point late_resume_until{};           // earlier ones without an answer
        bool wants_resume = false;                       // once that is recorded
        bool may_resume_late = false;
    };
    struct instance_state {
        primary_report report;
        clock::time_point received_at;
    };

    server_state& state_of(std::string_view server);
    [[nodiscard]] const member* find_member(std::string_view server) const;
    void update_members(const std::vector<member>& members, clock::time_point now);
    void update_fence(clock::time_point now);
    [[nodiscard]] std::string staying_replica() const;
    [[nodiscard]] bool has_fence() const; // with the candidate
    [[nodiscard]] bool is_verified_since_fence(const server_state& state) const;
    void note_departure(log_position had);
    [[nodiscard]] log_position paused_position_of(std::string_view server) const;
    void advance_steady(const decision_record& record, clock::time_point now);
    void check_for_primary(clock::time_point now);
    void look_for_other_primary(clock::time_point now);
    void adopt_resuming(const decision_record& record, clock::time_point now);
    void update_resuming(const decision_record& record, clock::time_point now);
    void resume_paused_replicas(const decision_record& record, clock::time_point now);
    [[nodiscard]] std::string change_reason(clock::time_point now) const;
    [[nodiscard]] bool is_primary_down(clock::time_point now) const;
    [[nodiscard]] bool is_cooling_down(clock::time_point now) const
    {
        return now - steady_since_ < settings_.cooldown;
    }
    [[nodiscard]] bool is_failing_for_instances(clock::time_point now) const;
    [[nodiscard]] const server_state* find_successor(const member& each) const;
    // `must_be_inside`: only a server inside the allowed regions counts.
    [[nodiscard]] bool has_successor(bool must_be_inside) const;
    // Returns whether a server that stays has all that the primary had at the check before last.
    [[nodiscard]] bool has_complete_successor() const;
    void start_decision(const decision_record& record, std::string reason, clock::time_point now);
    [[nodiscard]] bool is_fencing() const noexcept
    {
        return phase_ == phase_kind::fencing || phase_ == phase_kind::calling;
    }
    [[nodiscard]] bool may_keep_primary() const;
    void continue_decision(const decision_record& record, clock::time_point now);
    void advance_committing(const decision_record& record, clock::time_point now);
    void advance_fencing(clock::time_point now);
    [[nodiscard]] bool may_confirm_primary(clock::time_point now) const;
    [[nodiscard]] bool answers(std::string_view server) const;
    [[nodiscard]] const member* find_requested() const;
    [[nodiscard]] bool was_requested(std::string_view server) const;
    [[nodiscard]] bool is_recently_confirmed(clock::time_point now) const;
    [[nodiscard]] std::string only_silent_member() const;
    [[nodiscard]] bool is_replica(std::string_view server) const;
    [[nodiscard]] bool is_failing(std::string_view server) const;
    void choose_candidate(clock::time_point now);
    void pause_other_replicas(clock::time_point now);
    void maintain_fence(clock::time_point now);
    [[nodiscard]] bool may_promote(clock::time_point now);
    [[nodiscard]] bool is_fenced() const;
    [[nodiscard]] bool has_log_of_demoted(std::string_view server) const;
    [[nodiscard]] bool is_paused(std::string_view server) const;
    [[nodiscard]] bool are_others_paused() const;
    [[nodiscard]] bool are_others_verified() const;
    [[nodiscard]] bool has_all_commits(std::string_view server) const;
    void demote_old_primary(clock::time_point now);
    [[nodiscard]] bool may_give_up(clock::time_point now) const;
    void request_candidate(clock::time_point now);
    void finish(clock::time_point now);
    [[nodiscard]] std::string restart_reason(clock::time_point now) const;
    void send_promotion_request(clock::time_point now);
    [[nodiscard]] promotion_evidence evidence() const;
    void advance_calling(const decision_record& record, clock::time_point now);
    void check_role(const member& target, clock::duration interval, clock::time_point now);
    void request_status(const member& target, clock::duration interval, clock::time_point now);
    void request_all_status(clock::duration interval, clock::time_point now);

    std::string group_;
    std::uint32_t fleet_size_ = 1;
    planner_settings settings_;
    phase_kind phase_ = phase_kind::steady;
    std::vector<member> members_;
    std::map<std::string, server_state, std::less<>> servers_;
    std::map<std::string, instance_state, std::less<>> instances_;
    std::vector<action> actions_;

    std::string primary_;
    std::string reported_primary_;
    // At first the time of the start: before `phase_started_at_`, so that it counts as unconfirmed.
    clock::time_point primary_confirmed_at_{};
    log_position primary_position_;
    log_position earlier_position_; // of the primary, at the check before
    std::uint64_t latest_term_ = 0;
    clock::time_point steady_since_;
    clock::time_point resume_from_;
    std::optional<clock::time_point> primary_lost_at_; // no server is the primary since then

    // A replica that left may have been the only one with some commits, so a server is promoted
    // only once it has received what the primary had after the departure.
    std::optional<clock::time_point> member_left_at_;
    log_position required_position_;

    std::optional<wanted_fence> fence_;
    std::uint64_t fence_serial_ = 0; // the latest one
    std::optional<clock::time_point> fence_applied_at_;

    std::uint64_t decision_number_ = 0;  // of the decision in progress
    std::vector<std::string> requested_; // as in the decision record
    std::string old_primary_;
    std::string candidate_;
    bool is_candidate_paused_ = false;
    bool is_reconfirmation_ = false; // the decision confirms the current primary
    clock::time_point phase_started_at_;
    std::optional<clock::time_point> others_paused_since_;
    std::optional<clock::time_point> not_paused_since_; // not all others are paused
    std::optional<clock::time_point> not_fenced_since_; // while the request is under way
    std::uint64_t fenced_term_ = 0; // latest term when the promotion was first requested
    clock::time_point recorded_at_{};
    bool has_adopted_resuming_ = false;
    clock::time_point resuming_recorded_at_{};
    clock::time_point requested_at_{};
    std::optional<clock::time_point> request_accepted_at_;
    bool request_refused_ = false;
};

} // namespace primrosehead::promotion
