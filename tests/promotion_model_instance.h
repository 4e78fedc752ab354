// The pooler instance of promotion_model, which confirms commits to callers.
#pragma once

#include "commit_fence.h"
#include "commit_gate.h"
#include "promotion_model_group.h"

#include <primrosehead/clock.h>

#include <deque>
#include <string_view>

namespace primrosehead::testing {

class promotion_model_instance {
  public:
    explicit promotion_model_instance(promotion_model_group& group) : group_(group) {}

    // The primary acknowledges a commit.
    void receive(model_acknowledgement made);
    // Confirms the commits that may be. Returns whether there were any.
    bool advance();

    // What the control leader tells, when it arrives.
    void record(const fence_map& fences, commit_gate::primaries known, clock::time_point as_of);
    void add(const fence_map& fences);

    [[nodiscard]] fence_reports reports() const { return gate_.reports(); }

  private:
    struct held_commit {
        model_acknowledgement made;
        acknowledged_commit commit;
    };
    void observe(std::string_view server);

    promotion_model_group& group_;
    commit_gate gate_;
    std::deque<held_commit> held_;
};

} // namespace primrosehead::testing
