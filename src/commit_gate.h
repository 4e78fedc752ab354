// Decides in a pooler instance when a commit that a server acknowledged may be confirmed to its
// caller (commit_fence.h). Pure.
#pragma once

#include "commit_fence.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// What is known when a commit is sent to a server.
struct commit_mark {
    std::uint64_t lapses = 0;
    std::uint64_t changes = 0; // of the group's fence

    friend bool operator==(const commit_mark&, const commit_mark&) = default;
};

// A commit that a server acknowledged.
struct acknowledged_commit {
    std::string group;
    std::string server;
    std::optional<log_position> position; // of the server's log; it includes the commit
    commit_mark mark;                     // when the commit was sent
    clock::time_point sent_at;
    clock::time_point acknowledged_at;
};

// After this time a server that a control leader listed is known to later leaders too.
inline constexpr clock::duration establishing_time{1'500};

enum class commit_verdict {
    confirmed,
    undecided, // until the fence is lifted or the lease is renewed
    unproved,  // until one of `servers` is known to have the commit
    unknown,   // it may be lost
};

struct commit_decision {
    commit_verdict verdict = commit_verdict::undecided;
    std::vector<std::string> servers;
};

class commit_gate {
  public:
    using primaries = std::map<std::string, std::string, std::less<>>; // by group

    // Records the fences that were in force at `as_of`, which replace the earlier ones, and the
    // primaries that the control leader knew. They were requested at `asked_at`, which is later
    // than `as_of` if a relay told them.
    void record(const fence_map& fences, primaries known, clock::time_point as_of,
                clock::time_point asked_at, clock::time_point now);

    // Applies fences that the control leader announced.
    void add(const fence_map& fences, clock::time_point now);

    [[nodiscard]] bool has_lease(clock::time_point now) const noexcept
    {
        return now - as_of_ < commit_lease;
    }
    [[nodiscard]] clock::time_point as_of() const noexcept { return as_of_; }
    [[nodiscard]] bool is_fenced(std::string_view group) const { return fences_.contains(group); }

    [[nodiscard]] commit_mark mark(std::string_view group) const;
    // `established`: the servers of the group that control has known for `establishing_time`.
    [[nodiscard]] commit_decision decide(const acknowledged_commit& commit,
                                         std::span<const std::string> established,
                                         clock::time_point now) const;

    // Records that a server acknowledged a commit. One that had to wait for a replica may have been
    // received by one that control does not know: until an established replica has it, the group's
    // commits are in doubt.
    void record_acknowledged(const acknowledged_commit& commit);

    // Records a position that a server of the group returned; `leads`: as the primary.
    void record_position(std::string_view group, std::string_view server, log_position position,
                         bool leads);
    void record_confirmed(const acknowledged_commit& commit);

    [[nodiscard]] fence_reports reports() const;

  private:
    struct observation {
        log_position position;
        bool leads = false;
    };
    [[nodiscard]] commit_verdict judge(const acknowledged_commit& commit,
                                       std::string_view server) const;
    [[nodiscard]] commit_decision require_any(const acknowledged_commit& commit,
                                              std::span<const std::string> servers) const;

    fence_map fences_;
    primaries primaries_;
    std::map<std::string, clock::time_point, std::less<>> applied_at_; // by fenced group
    std::map<std::string, std::uint64_t, std::less<>> changes_;        // by group
    std::map<std::string, log_position, std::less<>> confirmed_;       // by group
    std::map<std::string, log_position, std::less<>> doubtful_from_;   // by group
    // Since the latest change of the group's fence.
    std::map<std::string, std::map<std::string, observation, std::less<>>, std::less<>> observed_;
    clock::time_point as_of_{};
    clock::time_point asked_at_{};
    std::uint64_t lapses_ = 0;
};

} // namespace primrosehead
