// Divides each organisation's rate and burst among the pooler instances by demand. Runs at the
// control leader. Pure.
//
// An instance may use its share until its lease expires, so that limits stay in force during an
// election. The shares that may be in use at the same time never add up to more than 100 %: a share
// grows only by what other instances have confirmed to have released, or what expired leases freed.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

inline constexpr std::uint32_t full_share_ppm = 1'000'000;

class share_allocator {
  public:
    // Until one `lease` after `elected_at`, shares that an earlier leader granted may be in use
    // without having been reported.
    share_allocator(clock::time_point elected_at, clock::duration lease);

    // Processes an instance's report: the share in use, in millionths, and the demand in operations
    // per second. Returns the share that the instance is to use from now on, in millionths.
    [[nodiscard]] std::uint32_t report(std::string_view organisation, std::string_view instance,
                                       std::uint64_t incarnation, std::uint32_t held, double demand,
                                       clock::time_point now);

    // Few processes with shares, such as relays, always keep their even part, so that an
    // organisation's first operation finds a token.
    void set_keeps_idle_shares(bool keeps) noexcept { keeps_idle_shares_ = keeps; }

    // Sets the instances to which an earlier leader may have granted shares. Within one lease after
    // the election, no share is available until all of them have sent a full report.
    void set_registered_instances(std::vector<std::string> instances)
    {
        registered_instances_ = std::move(instances);
    }

    // Called on every request of an instance: its shares stay in use for another lease.
    void renew_lease(std::string_view instance, clock::time_point now);

    // Called when an instance has reported all its shares: it has none of any organisation that is
    // not in `reported`.
    void apply_full_report(std::string_view instance,
                           const std::set<std::string, std::less<>>& reported);

    // Records that the instance acknowledged a reply to a request received at `received_at`.
    void record_confirmation(std::string_view instance, clock::time_point received_at);

    // The part of an organisation's limits, in millionths, that is not assigned to instances
    // without a confirmation in the last `max_age`: those may have lost contact with the leader.
    // While shares may be unreported, only those of confirmed instances count.
    [[nodiscard]] std::uint32_t confirmed_share(std::string_view organisation,
                                                clock::duration max_age,
                                                clock::time_point now) const;

    [[nodiscard]] std::size_t registered_count() const noexcept
    {
        return registered_instances_.size();
    }

    // Releases all shares of an instance whose process has ended.
    void release(std::string_view instance);

    // Releases the shares of instances whose lease has expired.
    void expire(clock::time_point now);

  private:
    struct allocation {
        std::uint64_t incarnation = 0;
        std::uint32_t in_use = 0;  // millionths that the instance may be using, at most
        std::uint32_t granted = 0; // millionths in the latest reply to it
        double demand = 0;         // smoothed
    };
    struct organisation_shares {
        clock::time_point first_reported_at; // since the election
        std::map<std::string, allocation, std::less<>> allocations;
    };

    [[nodiscard]] bool may_have_unreported_shares(clock::time_point now) const;
    [[nodiscard]] std::uint32_t target_share(const organisation_shares& shares,
                                             const allocation& own, clock::time_point now) const;
    [[nodiscard]] std::uint32_t available_share(const organisation_shares& shares,
                                                clock::time_point now) const;

    clock::time_point elected_at_;
    clock::duration lease_;
    bool keeps_idle_shares_ = false;
    std::map<std::string, organisation_shares, std::less<>> organisations_;
    std::vector<std::string> registered_instances_;
    std::set<std::string, std::less<>> fully_reported_; // since the election
    std::map<std::string, clock::time_point, std::less<>> last_renewed_at_;
    std::map<std::string, clock::time_point, std::less<>> last_confirmed_at_;
};

} // namespace primrosehead::cell
