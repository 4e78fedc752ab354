// Splits each organisation's rate and burst over the pooler instances by their demand, at the
// control leader. Pure.
//
// An instance spends within its share until its lease ends, so that limits go on through elections.
// The shares that may be in use at once never pass one: a share rises only by what others have
// confirmed to have given up, or what a lease that ended gave back.
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

inline constexpr std::uint32_t full_share_ppm = 1'000'000; // millionths

class share_allocator {
  public:
    // `elected_at`: before one `lease` has passed, an earlier leader's shares may be in use unseen.
    share_allocator(clock::time_point elected_at, clock::duration lease);

    // An instance holds `held` and sees `demand` operations a second, in a report of `incarnation`.
    // Returns the share that it is to use from now on.
    [[nodiscard]] std::uint32_t report(std::string_view organisation, std::string_view instance,
                                       std::uint64_t incarnation, std::uint32_t held, double demand,
                                       clock::time_point now);

    // Instances that an earlier leader may have granted shares to. Before all of them were heard,
    // and within one lease of the election, nothing is free.
    void set_registered_instances(std::vector<std::string> instances)
    {
        registered_instances_ = std::move(instances);
    }

    // The instance asked something: what it holds is in use for another lease.
    void renew_lease(std::string_view instance, clock::time_point now);

    // The instance told all its shares: it holds none of other organisations than `told`.
    void apply_full_report(std::string_view instance,
                           const std::set<std::string, std::less<>>& told);

    // The instance confirmed an answer that it was given.
    void record_confirmation(std::string_view instance, clock::time_point now);

    // The part of an organisation's limits, in millionths, whose holders have confirmed an answer
    // lately. Others may be without the leader.
    [[nodiscard]] std::uint32_t confirmed_share(std::string_view organisation,
                                                clock::duration lately,
                                                clock::time_point now) const;

    [[nodiscard]] std::size_t registered_count() const noexcept
    {
        return registered_instances_.size();
    }

    // All shares of the instance end: its process is over.
    void release(std::string_view instance);

    // Drops instances whose lease ended.
    void expire(clock::time_point now);

  private:
    struct allocation {
        std::uint64_t incarnation = 0;
        std::uint32_t in_use = 0;  // what the instance may be spending by, at most
        std::uint32_t granted = 0; // what it was told last
        double demand = 0;         // smoothed
    };
    struct organisation_shares {
        clock::time_point first_reported_at; // first report since the election
        std::map<std::string, allocation, std::less<>> allocations;
    };

    [[nodiscard]] bool may_have_unreported_shares(clock::time_point now) const;
    [[nodiscard]] std::uint32_t target_share(const organisation_shares& shares,
                                             const allocation& own, clock::time_point now) const;
    [[nodiscard]] std::uint32_t available_share(const organisation_shares& shares,
                                                clock::time_point now) const;

    clock::time_point elected_at_;
    clock::duration lease_;
    std::map<std::string, organisation_shares, std::less<>> organisations_;
    std::vector<std::string> registered_instances_;
    std::set<std::string, std::less<>> fully_reported_; // since the election
    std::map<std::string, clock::time_point, std::less<>> last_renewed_at_;
    std::map<std::string, clock::time_point, std::less<>> last_confirmed_at_;
};

} // namespace primrosehead::cell
