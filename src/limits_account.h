// What the control leader knows of one organisation's tokens at one instance.
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
    // Names a heartbeat of one process.
    struct heartbeat_id {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t answered = 0;
    };

    // False for a report that comes late, twice or from an earlier process: nothing changed.
    [[nodiscard]] bool take_in(const heartbeat_id& beat, const pb::allowance_report& report,
                               clock::time_point now, clock::duration grant_time);

    // Tokens that the last `take_in` gave back.
    [[nodiscard]] std::int64_t given_back() const noexcept { return given_back_; }

    void grant(std::uint64_t sequence, std::int64_t amount, clock::time_point now,
               clock::duration grant_time);

    void expire(clock::time_point now);

    // Tokens that may be unspent at the instance, of all its processes.
    [[nodiscard]] std::int64_t outstanding() const noexcept;
    // Of the present process.
    [[nodiscard]] std::int64_t held() const noexcept;

    [[nodiscard]] std::int64_t wanted() const noexcept { return wanted_; }
    [[nodiscard]] std::int64_t unmet() const noexcept { return unmet_; }
    [[nodiscard]] clock::time_point reported_at() const noexcept { return reported_at_; }

    // Until then the instance certainly does not spend its floor.
    [[nodiscard]] clock::time_point lent_until() const noexcept { return lent_until_; }

  private:
    struct unconfirmed_grant {
        std::uint64_t sequence = 0;
        std::int64_t amount = 0;
        clock::time_point sent_at;
        clock::time_point expires_at;
    };

    [[nodiscard]] bool is_late(const heartbeat_id& beat) const;
    void start_process(std::uint64_t incarnation);
    void confirm(std::uint64_t answered, clock::duration grant_time);

    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::deque<std::uint64_t> earlier_incarnations_;
    std::deque<unconfirmed_grant> unconfirmed_;
    expiring_tokens confirmed_;
    expiring_tokens of_earlier_processes_;
    std::int64_t returned_total_ = 0;
    std::int64_t given_back_ = 0;
    std::int64_t wanted_ = 0;
    std::int64_t unmet_ = 0;
    clock::time_point reported_at_{};
    clock::time_point lent_until_{};
};

} // namespace primrosehead::limits
