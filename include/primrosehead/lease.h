// Write leases: an entry instance acknowledges a write only while its lease holds, and the control
// leader orders a promotion only after every lease on the old term is confirmed gone or expired.
//
// One lease an instance covers all groups at the state version that the instance confirmed; a
// change of term is a new state version. Pure.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <map>
#include <vector>

namespace primrosehead {

// The keeper counts a lease this much longer than its holder: covers rounding to milliseconds and
// the drift of two monotonic clocks over one lease.
inline constexpr clock::duration lease_margin{5};

// An entry instance's side. Counted from the moment of asking, never from the answer.
class lease_holder {
  public:
    void renew(clock::time_point sent_at, clock::duration lease) noexcept;
    [[nodiscard]] bool is_valid(clock::time_point now) const noexcept;
    [[nodiscard]] clock::time_point expires_at() const noexcept { return expires_at_; }

  private:
    clock::time_point expires_at_{};
};

// The control leader's side.
class lease_table {
  public:
    // Leases of an earlier leader may be out until `lease` after the election.
    lease_table(clock::time_point elected_at, clock::duration lease);

    // An instance asked at state `version`; it holds a lease from now on.
    void record_grant(const instance_name& instance, std::uint64_t version, clock::time_point now);

    // An instance confirmed `version` without renewing.
    void record_confirmation(const instance_name& instance, std::uint64_t version);

    // True when no instance may still act on a state before `version`.
    [[nodiscard]] bool none_before(std::uint64_t version, clock::time_point now) const;

    // Instances that `none_before` waits for.
    [[nodiscard]] std::vector<instance_name> holders_before(std::uint64_t version,
                                                            clock::time_point now) const;

  private:
    struct lease_entry {
        std::uint64_t version = 0;
        clock::time_point expires_at;
    };

    [[nodiscard]] static bool may_act_before(const lease_entry& held, std::uint64_t version,
                                             clock::time_point now) noexcept;

    clock::time_point previous_leases_end_;
    clock::duration lease_;
    std::map<instance_name, lease_entry> leases_;
};

} // namespace primrosehead
