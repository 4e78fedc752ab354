// What the fleet service reads out of the replicated state, followed by deltas.
#pragma once

#include <primrosehead/failover.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace primrosehead::fleet {

class state_index {
  public:
    // Takes in what changed since the last call. True when something did.
    bool update(const state_machine& state);

    // A group as failover sees it; of term 0 when the state has none.
    [[nodiscard]] failover::group_view group(std::string_view database) const;

    // Registered entry instances, those that serve callers.
    [[nodiscard]] std::uint32_t entry_instances() const noexcept;

  private:
    void apply_record(const pb::state_record& record);

    std::uint64_t version_ = 0;
    std::map<std::string, failover::group_view, std::less<>> groups_;
    std::set<std::string, std::less<>> entry_instances_;
};

} // namespace primrosehead::fleet
