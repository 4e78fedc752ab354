// Rate and burst of an organisation over the whole fleet. Pure.
//
// The control leader mints an organisation's tokens in an `allowance_ledger` and grants them to
// instances for a short time; an instance spends them from its `allowance`. Tokens that exist (with
// the leader or unexpired at instances) never pass the burst, and they are minted at the rate, so
// that any window admits at most burst + rate x time. An instance that takes in an answer lends its
// floor to the leader for the grant time: floors are minted by instances only once they are cut off
// from the leader for so long. Amounts are thousandths of a request.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class allowance_grant;
class allowance_report;
} // namespace primrosehead::pb

namespace primrosehead::limits {

inline constexpr std::int64_t tokens_per_request = 1'000;

struct contract {
    double rate = 0;             // requests a second
    double burst = 0;            // requests
    double floor_share = 0;      // part split evenly over `instances`, spent without grants
    std::uint32_t instances = 1; // registered entry instances
};

// One organisation's tokens at one instance.
class allowance {
  public:
    allowance(contract terms, clock::time_point now);

    void set_contract(contract terms, clock::time_point now);

    // Takes one request's tokens. `false`: none here just now.
    [[nodiscard]] bool take(clock::time_point now);

    // The same for a request that `take` refused before and that waited for a grant since: it is
    // not counted as demand again.
    [[nodiscard]] bool take_on_retry(clock::time_point now);

    // True while the leader's last answer says that there is nothing to grant: waiting for the next
    // one does not help.
    [[nodiscard]] bool is_exhausted(clock::time_point now) const;

    // When `take` may succeed again, were no grant to come.
    [[nodiscard]] clock::duration retry_after(clock::time_point now) const;

    // A grant in answer to a heartbeat asked at `asked_at`, also one of nothing: it lends the
    // instance's floor to the leader for `valid` from now on. Answers older than the last one that
    // was taken in are to be dropped before they come here.
    void add_grant(std::int64_t amount, clock::duration valid, clock::time_point asked_at,
                   clock::time_point now);

    // What to put into the next heartbeat. Returns surplus tokens.
    void fill_report(pb::allowance_report& into, clock::time_point now);

    // True when the next heartbeat should not wait: demand is there and tokens run low.
    [[nodiscard]] bool is_low(clock::time_point now) const;

    // True when the next heartbeat should carry a report: there is something to say, or the last
    // one is a while ago.
    [[nodiscard]] bool is_report_due(clock::time_point now) const;

    ~allowance();
    allowance(allowance&&) noexcept;
    allowance& operator=(allowance&&) noexcept;
    allowance(const allowance&) = delete;
    allowance& operator=(const allowance&) = delete;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

// All organisations' tokens at the control leader.
class allowance_ledger {
  public:
    // A new leader does not know what the old one granted: it counts half of each burst as
    // outstanding until `grant_time` has passed.
    allowance_ledger(clock::time_point elected_at, clock::duration grant_time);

    void set_contract(const organisation_name& organisation, contract terms, clock::time_point now);
    void remove(const organisation_name& organisation);

    // Takes in one instance's report of one organisation and grants what its demand and the others'
    // allow. `sequence` is the heartbeat's, `answered` the last reply that the instance took in.
    [[nodiscard]] pb::allowance_grant
    handle_report(const instance_name& instance, std::uint64_t incarnation, std::uint64_t sequence,
                  std::uint64_t answered, const pb::allowance_report& from, clock::time_point now);

    ~allowance_ledger();
    allowance_ledger(allowance_ledger&&) noexcept;
    allowance_ledger& operator=(allowance_ledger&&) noexcept;
    allowance_ledger(const allowance_ledger&) = delete;
    allowance_ledger& operator=(const allowance_ledger&) = delete;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::limits
