// Write leases: an entry instance acknowledges a write only while its lease is valid, and the
// control leader orders a promotion only after each holder of a lease on the old term has confirmed
// the new one or its lease has expired.
//
// Each instance has one lease, which covers all groups at the state version that the instance
// confirmed; a change of term creates a new state version. Pure.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <map>
#include <vector>

namespace primrosehead {

// Added to the length of a lease on the control leader: covers rounding to milliseconds and the
// drift of two monotonic clocks over one lease.
inline constexpr clock::duration lease_margin{5};

// An entry instance's lease. It runs from the time the request was sent, not from the reply, as
// the control leader may grant it at any time in between.
class lease_holder {
  public:
    void renew(clock::time_point sent_at, clock::duration lease) noexcept;
    [[nodiscard]] bool is_valid(clock::time_point now) const noexcept;
    [[nodiscard]] clock::time_point expires_at() const noexcept { return expires_at_; }

  private:
    clock::time_point expires_at_{};
};

// The leases that the control leader has granted.
class lease_table {
  public:
    // Leases granted by an earlier leader may be valid until `lease` after the election.
    lease_table(clock::time_point elected_at, clock::duration lease);

    // Records a lease from `now` for an instance that requested it at state `version`.
    void record_grant(const instance_name& instance, std::uint64_t version, clock::time_point now);

    // Records that an instance confirmed `version` without renewing its lease.
    void record_confirmation(const instance_name& instance, std::uint64_t version);

    // Returns whether no instance may still act on a state older than `version`.
    [[nodiscard]] bool none_before(std::uint64_t version, clock::time_point now) const;

    // Returns the instances that may still act on a state older than `version`, as far as this
    // leader granted their leases.
    [[nodiscard]] std::vector<instance_name> holders_before(std::uint64_t version,
                                                            clock::time_point now) const;

  private:
    struct lease_entry {
        std::uint64_t version = 0;
        clock::time_point expires_at;
    };

    [[nodiscard]] static bool may_act_before(const lease_entry& entry, std::uint64_t version,
                                             clock::time_point now) noexcept;

    clock::time_point previous_leases_end_;
    clock::duration lease_;
    std::map<instance_name, lease_entry> leases_;
};

} // namespace primrosehead
