// Failover and switchover of a database group. Pure: takes reports and answers, returns orders.
//
// steady -> closing (commit a new term without a primary) -> waiting (leases of the old term end)
// -> fencing (a quorum of the group promises the new term) -> promoting -> opening (commit the new
// primary) -> steady.
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

// Commits `begin_promotion` for this term.
struct close_term {
    std::uint64_t new_term = 0;
};
// Asks a server to refuse every earlier term and to report its position.
struct fence_server {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
};
// Orders a server to become primary of the term.
struct promote_server {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
};
// Commits `finish_promotion`.
struct open_term {
    server_name server;
    std::string url;
    std::uint64_t term = 0;
    std::uint64_t start_index = 0;
};

using order = std::variant<close_term, fence_server, promote_server, open_term>;

// State of a server of the group, as reported by entry instances.
struct member_report {
    server_name server;
    std::string url;
    clock::time_point reported_at;
    log_position received;
    std::uint64_t term = 0; // highest promised; 0 when not reported
    bool is_primary = false;
    bool is_leaving = false;
};

// The group in the replicated state.
struct group_view {
    std::uint64_t term = 0;
    std::optional<server_name> primary;
    std::uint64_t version = 0;              // state version that last changed the group
    std::vector<term_boundary> term_starts; // of the group's terms, ascending
};

struct planner_settings {
    clock::duration failure_after{400};
    clock::duration retry_interval{200};      // resend interval of unanswered orders
    std::uint32_t group_size = 3;             // upper bound on the members; sets the fence quorum
    clock::duration bootstrap_timeout{1'000}; // how long a new group waits for all members
    clock::duration cooldown{1'000};          // after a change of primary, before the next one
    clock::duration fence_grace{50};          // how long to wait for live members beyond the quorum
    clock::duration catch_up_timeout{1'000};  // how long a switchover waits for a replica
    bool choose_highest = true;               // tests only: false promotes the first fenced member
};

// Number of members that must promise a term before a server is promoted: a majority, and enough
// that at least one of them has each acknowledged write, which two members hold.
[[nodiscard]] std::uint32_t fence_quorum(std::uint32_t group_size) noexcept;

// Plans the failovers of one database group; runs on the control leader.
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
    // A server rejected an order: it has promised a higher term, or has lost its own promise.
    void on_refused(const server_name& server, std::uint64_t seen_term);

    // Requests a switchover on behalf of an operator. A primary that is leaving needs no request.
    void request_switchover();

    // Returns the orders that are due. `old_leases_ended`: no instance may still acknowledge
    // writes of an earlier term.
    [[nodiscard]] std::vector<order> advance(const group_view& group, bool old_leases_ended,
                                             clock::time_point now);

    [[nodiscard]] std::string_view phase() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::failover
