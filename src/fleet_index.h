// Index of the replicated state for the fleet service, updated by deltas.
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
    // Applies the changes since the last call. Returns false if there were none.
    bool update(const state_machine& state);

    // Returns the failover view of a group; its term is 0 if the group is not in the state.
    [[nodiscard]] failover::group_view group(std::string_view database) const;

    // Number of registered entry instances that serve callers.
    [[nodiscard]] std::uint32_t entry_instances() const noexcept;

  private:
    void apply_record(const pb::state_record& record);

    std::uint64_t version_ = 0;
    std::map<std::string, failover::group_view, std::less<>> groups_;
    std::set<std::string, std::less<>> entry_instances_;
};

} // namespace primrosehead::fleet
