// The limiters of all organisations at one process that has a share of the fleet's rates: a pooler
// instance, or a relay on behalf of its followers. Pure.
#pragma once

#include "document.h"
#include "pooler_limits.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class follow_reply;
class follow_request;
class token_request;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

// How an organisation's limits are divided between the leader and the processes with a share.
struct limit_division {
    std::uint32_t central_ppm = 0; // the leader's part of rates and bursts, in millionths
    double tolerance = 0;          // this process's part of the tolerated excess, in operations
};

// Which organisations a share report lists: those with a share or operations, or all.
enum class share_report_scope { active, all };

class limit_table {
  public:
    // Sets the limits of the document's organisations and removes all others.
    void apply(const document& current, limit_division division, clock::time_point now);

    // Null for an unknown organisation.
    [[nodiscard]] limiter* find(std::string_view organisation);

    // See `limiter::set_isolated`.
    void set_isolated(bool is_isolated, clock::time_point now);

    // True while an organisation with operations has no share.
    [[nodiscard]] bool needs_share() const;

    // Adds a full report of the shares. While leaving, no demand is reported.
    void report_shares(pb::follow_request& request, share_report_scope scope, bool is_leaving,
                       clock::time_point now);
    void apply_shares(const pb::follow_reply& reply, clock::time_point now);

    // Drops all shares when their lease has expired.
    void drop_shares(clock::time_point now);

    // Adds the tokens that organisations lack up to their capacity.
    void request_missing(pb::token_request& request, clock::time_point now);

  private:
    std::map<std::string, limiter, std::less<>> limiters_;
};

} // namespace primrosehead::pooler
