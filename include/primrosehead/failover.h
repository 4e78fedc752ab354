// Replaces the primary of a database group. Pure: reports and answers go in, orders come out.
//
// steady -> closing (term closed in the log) -> waiting (leases of the old term end) ->
// fencing (enough of the group promises the new term) -> promoting -> opening (the new primary
// stands in the log) -> steady.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace primrosehead::failover {

// Commit `begin_promotion` for this term.
struct close_term {
    std::uint64_t new_term = 0;
};
// Ask a server to refuse every earlier term and to tell its position.
struct fence_server {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
};
// Order a server to become primary of the term.
struct promote_server {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
};
// Commit `finish_promotion`.
struct open_term {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
    std::uint64_t start_index = 0;
};

using order = std::variant<close_term, fence_server, promote_server, open_term>;

// A server of the group as the reports of entry instances tell it.
struct member_report {
    server_name server;
    std::string url;
    clock::time_point reported_at;
    log_position received;
    std::uint64_t term = 0; // highest promised; 0 when not told
    bool is_primary = false;
    bool is_leaving = false;
};

// What the replicated state says of the group.
struct group_view {
    std::uint64_t term = 0;
    std::optional<server_name> primary;
    std::uint64_t version = 0;              // state version that last changed the group
    std::vector<term_boundary> term_starts; // of the group's terms, rising
};

struct planner_settings {
    clock::duration failure_after{400};
    clock::duration retry_interval{200}; // an order without an answer is given again
    std::uint32_t group_size = 3;        // members known at most; a majority of these must fence
    clock::duration bootstrap_timeout{1'000}; // a new group waits so long for all of its members
    clock::duration cooldown{1'000};          // no second unforced change within this of the last
    clock::duration fence_grace{50};          // beyond enough fenced, for the other heard members
    clock::duration catch_up_timeout{1'000};  // a planned change waits so long for a replica
    bool choose_highest = true;               // tests only: off promotes the first that was fenced
};

// Members that must promise a term before a server is promoted: a majority, and so many that every
// acknowledged write, which two members hold, is at one of them at least.
[[nodiscard]] std::uint32_t fence_quorum(std::uint32_t group_size) noexcept;

// The failover of one database group at the control leader.
class planner {
  public:
    planner(database_name database, planner_settings settings, clock::time_point now);
    ~planner();
    planner(planner&&) noexcept;
    planner& operator=(planner&&) noexcept;
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;

    void on_report(const member_report& report);
    void on_fenced(const server_name& server, std::uint64_t term, log_position received);
    void on_promoted(const server_name& server, std::uint64_t term, std::uint64_t start_index);
    // A server answered an order with a higher term, or forgot the term that it promised.
    void on_refused(const server_name& server, std::uint64_t seen_term);

    // An operator's planned change; a primary that is leaving brings one by itself.
    void request_switchover();

    // `old_leases_ended`: no instance may still acknowledge writes of an earlier term.
    [[nodiscard]] std::vector<order> advance(const group_view& group, bool old_leases_ended,
                                             clock::time_point now);

    [[nodiscard]] std::string_view phase() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::failover
