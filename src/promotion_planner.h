// Replaces the primary of a database group whose promotions a platform carries out. Pure: what
// servers, instances and the platform answer goes in, actions come out.
//
// A commit is acknowledged once one replica received it, so a server may lead without loss when
// every acknowledgement that may still be given needs it, and it holds all that were given. The
// plan pauses every other replica, waits until the candidate holds what they hold, and orders the
// promotion under a number that was committed for this decision alone: the platform refuses calls
// with a lower number, also those that it carries out late.
#pragma once

#include "line_answer.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace primrosehead::promotion {

// A server of the group that has not deregistered.
struct member {
    std::string server;
    std::string address;
    bool is_leaving = false;
    bool claims_primary = false;
    std::uint64_t born_ms = 0;
};

// What the replicated state says of the group's latest decision.
struct decision_record {
    std::uint64_t number = 0; // 0: none yet
    std::string primary;      // empty while it is under way
};

// The members of the group and who leads it, for a control leader to come.
struct record_members {
    std::vector<member> members;
    std::string primary;
};

// Find out whether the server leads: a transaction that only a primary begins.
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
};
struct demote_primary {
    std::string server;
    std::string address;
    std::uint64_t term = 0;
};
struct resume_replica {
    std::string server;
    std::string address;
};
// Commit a new decision.
struct begin_decision {
    std::uint64_t number = 0;
    std::string reason;
};
// Ask the platform to promote.
struct request_promotion {
    std::string server;
    std::uint64_t number = 0;
};
// Commit that the server leads.
struct finish_decision {
    std::string server;
    std::string address;
    std::uint64_t number = 0;
    log_position position;
};

using action =
    std::variant<check_primary, check_status, pause_replica, demote_primary, resume_replica,
                 begin_decision, request_promotion, finish_decision, record_members>;

enum class promotion_outcome { accepted, refused, unknown };

// What an instance reports of the primary.
struct primary_report {
    std::string server;
    std::optional<clock::duration> reached_ago; // it acted as the primary
    clock::duration failing_for{0};
};

struct planner_settings {
    clock::duration check_interval{250};
    // Keeps a connection open to every replica: in a failover there may be none to get.
    clock::duration replica_check_interval{1'000};
    // Two checks without an answer, each given up after 400 ms.
    clock::duration primary_timeout{900};
    // A refused connection is sure: nothing listens. Two checks rule out a restart.
    clock::duration refused_timeout{350};
    // A sighting this fresh contradicts the control leader's own failing checks.
    clock::duration report_max_age{600};
    // Longer than a statement timeout: one write that failed may have been an honest one.
    clock::duration failing_threshold{1'500};
    clock::duration order_retry_interval{250};
    clock::duration status_timeout{300};   // for more statuses than the first, to choose among
    clock::duration catch_up_timeout{400}; // for the candidate to hold what the paused hold
    clock::duration pause_timeout{800};
    clock::duration request_retry_interval{700};
    clock::duration confirmation_timeout{2'500};
    clock::duration cooldown{1'500}; // after a change of primary, before the next unforced one
};

class planner {
  public:
    // `seen_primary`: who led when the members were noted last; taken to lead until it is shown
    // otherwise.
    planner(std::string group, std::string seen_primary, planner_settings settings,
            clock::time_point now);

    // Answers of servers. `sent_at`: when the question was sent.
    void on_primary(std::string_view server, log_position at, clock::time_point sent_at,
                    clock::time_point now);
    void on_not_primary(std::string_view server, clock::time_point now);
    void on_unreachable(std::string_view server, bool refused, clock::time_point now);
    void on_status(std::string_view server, const server_status& status, clock::time_point sent_at,
                   clock::time_point now);
    void on_paused(std::string_view server, const server_status& status, clock::time_point now);
    void on_demoted(std::string_view server, const server_status& status, clock::time_point now);

    void on_promotion_answer(std::string_view server, std::uint64_t number,
                             promotion_outcome outcome, clock::time_point now);
    void on_primary_report(std::string_view instance, const primary_report& seen,
                           clock::time_point now);

    [[nodiscard]] std::vector<action> advance(const std::vector<member>& members,
                                              const decision_record& record, clock::time_point now);

    // The server that was seen leading last; empty when none is known.
    [[nodiscard]] const std::string& primary() const noexcept { return primary_; }
    [[nodiscard]] log_position primary_position() const noexcept { return primary_position_; }
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
        std::optional<log_position> paused_position;  // in this decision
        std::optional<log_position> demoted_position; // in this decision
        std::uint64_t born_ms = 0;
    };
    struct instance_state {
        primary_report seen;
        clock::time_point heard_at;
    };

    server_state& state_of(std::string_view server);
    [[nodiscard]] const member* find_member(std::string_view server) const;
    void update_members(const std::vector<member>& members);
    void advance_steady(const decision_record& record, clock::time_point now);
    void check_for_primary(clock::time_point now);
    void resume_paused_replicas(const decision_record& record, clock::time_point now);
    [[nodiscard]] std::string change_reason(clock::time_point now) const;
    [[nodiscard]] bool is_primary_down(clock::time_point now) const;
    [[nodiscard]] bool is_failing_for_instances(clock::time_point now) const;
    [[nodiscard]] bool has_successor() const;
    void start_decision(const decision_record& record, std::string reason, clock::time_point now);
    void advance_fencing(clock::time_point now);
    void choose_candidate(clock::time_point now);
    void pause_other_replicas(clock::time_point now);
    [[nodiscard]] bool may_promote(clock::time_point now);
    [[nodiscard]] bool are_others_paused() const;
    [[nodiscard]] bool has_all_commits(std::string_view server) const;
    void demote_old_primary(clock::time_point now);
    void send_promotion_request(clock::time_point now);
    void advance_calling(const decision_record& record, clock::time_point now);
    void check_role(const member& target, clock::duration interval, clock::time_point now);
    void request_status(const member& target, clock::duration interval, clock::time_point now);

    std::string group_;
    planner_settings settings_;
    phase_kind phase_ = phase_kind::steady;
    std::vector<member> members_;
    std::map<std::string, server_state, std::less<>> servers_;
    std::map<std::string, instance_state, std::less<>> instances_;
    std::vector<action> actions_;

    std::string primary_;
    clock::time_point primary_confirmed_at_{};
    log_position primary_position_;
    std::uint64_t latest_term_ = 0;
    clock::time_point steady_since_;

    // A replica left while this group's commits may have been at it and the primary alone: whoever
    // is promoted must hold what the primary held afterwards.
    std::optional<clock::time_point> member_left_at_;
    log_position required_position_;

    std::uint64_t decision_number_ = 0; // of the decision under way
    std::string old_primary_;
    std::string candidate_;
    bool is_candidate_paused_ = false;
    bool is_reconfirmation_ = false; // the present primary is called for again
    clock::time_point phase_started_at_;
    std::optional<clock::time_point> others_paused_since_;
    clock::time_point requested_at_{};
    bool request_accepted_ = false;
    bool request_refused_ = false;
};

} // namespace primrosehead::promotion
