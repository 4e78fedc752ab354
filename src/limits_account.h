// The control leader's record of one organisation's tokens at one instance.
#pragma once

#include "limits_expiring_tokens.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <deque>

namespace primrosehead::pb {
class allowance_report;
} // namespace primrosehead::pb

namespace primrosehead::limits {

class account {
  public:
    // Identifies a heartbeat of an instance's process.
    struct heartbeat_id {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t acknowledged_sequence = 0; // of the last reply that the instance accepted
    };

    // Returns false, without a change, for a report that is out of order, a duplicate or from an
    // earlier process.
    [[nodiscard]] bool apply_report(const heartbeat_id& heartbeat,
                                    const pb::allowance_report& report, clock::time_point now,
                                    clock::duration grant_time);

    // Tokens returned to the leader by the last `apply_report`.
    [[nodiscard]] std::int64_t last_returned() const noexcept { return last_returned_; }

    void grant(std::uint64_t sequence, std::int64_t amount, clock::time_point now,
               clock::duration grant_time);

    void expire(clock::time_point now);

    // Tokens that may be unspent at the instance, over all of its processes.
    [[nodiscard]] std::int64_t outstanding() const noexcept;

    // Tokens that may be unspent at the instance's current process.
    [[nodiscard]] std::int64_t held() const noexcept;

    [[nodiscard]] std::int64_t wanted() const noexcept { return wanted_; }
    [[nodiscard]] std::int64_t unmet() const noexcept { return unmet_; }
    [[nodiscard]] clock::time_point reported_at() const noexcept { return reported_at_; }

    // Time until which the instance is known not to spend its floor.
    [[nodiscard]] clock::time_point floor_lent_until() const noexcept { return floor_lent_until_; }

  private:
    struct unconfirmed_grant {
        std::uint64_t sequence = 0;
        std::int64_t amount = 0;
        clock::time_point sent_at;
        clock::time_point expires_at;
    };

    [[nodiscard]] bool is_stale(const heartbeat_id& heartbeat) const;
    void begin_incarnation(std::uint64_t incarnation);
    void confirm(std::uint64_t acknowledged_sequence, clock::duration grant_time);

    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<std::uint64_t> earlier_incarnations_;
    std::deque<unconfirmed_grant> unconfirmed_grants_;
    expiring_tokens confirmed_tokens_;
    expiring_tokens earlier_process_tokens_;
    std::int64_t returned_total_ = 0;
    std::int64_t last_returned_ = 0;
    std::int64_t wanted_ = 0;
    std::int64_t unmet_ = 0;
    clock::time_point reported_at_{};
    clock::time_point floor_lent_until_{};
};

} // namespace primrosehead::limits
