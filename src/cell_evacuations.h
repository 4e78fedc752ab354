// Evacuations of failure domains in the replicated state, and the leader's check of an order before
// it is proposed. Pure.
//
// The set of known failure domains is a setting, so the state machine can't check it: instances
// with different settings would diverge. The leader checks an order against the committed
// evacuations and those that it has proposed, so that two concurrent orders can't together evacuate
// the last domain.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/error.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

using domain_set = std::set<std::string, std::less<>>;

[[nodiscard]] domain_set evacuated_domains(const state_machine& state);

// Returns the state version of the latest change of an evacuation; 0 if there was none.
[[nodiscard]] std::uint64_t evacuation_version(const state_machine& state);

class evacuation_orders {
  public:
    // Returns why the order must not be proposed, or nothing. `known` has the failure domains of
    // the settings. The kind is `bad_request` if a repetition gets the same answer, `no_quorum` if
    // it depends on an order whose commit is pending.
    [[nodiscard]] std::optional<error> check(const pb::set_evacuation& order,
                                             const domain_set& known,
                                             const state_machine& state) const;

    // To be called when an order is proposed, and when its outcome is known.
    void begin(const pb::set_evacuation& order);
    void finish(const pb::set_evacuation& order);

  private:
    std::map<std::string, std::uint32_t, std::less<>> pending_; // proposed evacuations by domain
};

} // namespace primrosehead::cell
