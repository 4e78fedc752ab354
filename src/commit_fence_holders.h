// The followers of a control leader or relay that may have a commit lease, and the fences that they
// have applied. Pure.
#pragma once

#include "commit_fence.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead {

// A process that follows.
struct fence_follower {
    std::string instance;
    std::uint64_t incarnation = 0;
    bool is_relay = false;
};

class fence_holders {
  public:
    // Leases that were granted by others may be in use until `others_end`.
    explicit fence_holders(clock::time_point others_end) : others_end_(others_end) {}

    // Records a request that was answered: the follower's lease ends at `lease_end`.
    void record(const fence_follower& follower, fence_reports applied, clock::time_point lease_end);

    // Returns whether every follower that may have a lease applies the fence.
    [[nodiscard]] bool is_applied(std::string_view group, fence_id id, clock::time_point now) const;

    // Returns the newest position that followers confirmed to callers, as far as they told.
    [[nodiscard]] log_position confirmed(std::string_view group) const;

    // Returns the followers to which the fences have to be announced, each fence once.
    [[nodiscard]] std::vector<std::string> take_unannounced(const fence_map& fences,
                                                            clock::time_point now);

    void expire(clock::time_point now);
    [[nodiscard]] std::size_t size() const noexcept { return followers_.size(); }

  private:
    using process = std::pair<std::string, std::uint64_t>; // instance and incarnation
    struct holder {
        clock::time_point lease_end;
        fence_reports applied;
    };
    [[nodiscard]] static bool applies(const holder& each, std::string_view group, fence_id id);

    clock::time_point others_end_;
    std::map<process, holder> followers_;
    std::map<std::string, log_position, std::less<>> confirmed_; // by group
    std::map<std::string, fence_id, std::less<>> announced_;     // by group
};

} // namespace primrosehead
