// Limits the rate and burst of an organisation over the whole fleet. Pure: no I/O, threads or clock
// reads.
//
// The control leader mints an organisation's tokens in an `allowance_ledger` and grants them to
// instances for a short time; an instance spends them from its `allowance`. The tokens in existence
// (at the leader, or unexpired at instances) never exceed the burst, and they are minted at the
// rate, so that any window admits at most burst + rate x time. An instance that accepts a reply
// lends its floor to the leader for the grant time: it mints its floor itself only after it has
// been disconnected from the leader for that long. Amounts are in thousandths of a request.
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
    double rate = 0;             // requests per second
    double burst = 0;            // requests
    double floor_share = 0;      // part split evenly over `instances`, usable without grants
    std::uint32_t instances = 1; // registered entry instances
};

// Tokens of one organisation at one instance.
class allowance {
  public:
    allowance(contract terms, clock::time_point now);

    void set_contract(contract terms, clock::time_point now);

    // Takes the tokens for one request. Returns false if too few are available.
    [[nodiscard]] bool take(clock::time_point now);

    // Like `take`, for a request that `take` refused earlier and that has waited for a grant since:
    // the request is not counted as demand again.
    [[nodiscard]] bool take_on_retry(clock::time_point now);

    // True while waiting for the next grant does not help: the last one did not cover the refused
    // requests, or the contract is split evenly without grants.
    [[nodiscard]] bool is_exhausted(clock::time_point now) const;

    // Delay after which `take` may succeed if no grant arrives.
    [[nodiscard]] clock::duration retry_after(clock::time_point now) const;

    // Accepts a grant, possibly of 0 tokens, in reply to the heartbeat sent at `sent_at`. It lends
    // the instance's floor to the leader for `valid` from `now` on. The caller drops replies older
    // than the last one accepted.
    void add_grant(std::int64_t amount, clock::duration valid, clock::time_point sent_at,
                   clock::time_point now);

    // Fills in the report for the next heartbeat and returns surplus tokens to the leader.
    void fill_report(pb::allowance_report& report, clock::time_point now);

    // True if the next heartbeat should be sent at once: there is demand and tokens run low.
    [[nodiscard]] bool is_low(clock::time_point now) const;

    // True if the next heartbeat should carry a report: tokens are held, requests came recently or
    // were refused, or the idle reporting interval has passed since the last report.
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

// Tokens of all organisations at the control leader.
class allowance_ledger {
  public:
    // A new leader does not know the grants of its predecessor: until `grant_time` has passed since
    // `elected_at`, it counts the maximum that may have been granted as outstanding: half of the
    // burst that is not floor, and more for small contracts.
    allowance_ledger(clock::time_point elected_at, clock::duration grant_time);

    void set_contract(const organisation_name& organisation, contract terms, clock::time_point now);
    void remove(const organisation_name& organisation);

    // Applies an instance's report on one organisation and grants it tokens according to its demand
    // and that of the other instances. `sequence` is that of the heartbeat, `acknowledged_sequence`
    // that of the last reply which the instance accepted.
    [[nodiscard]] pb::allowance_grant
    handle_report(const instance_name& instance, std::uint64_t incarnation, std::uint64_t sequence,
                  std::uint64_t acknowledged_sequence, const pb::allowance_report& report,
                  clock::time_point now);

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
