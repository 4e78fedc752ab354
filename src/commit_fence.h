// Fences of database groups: while the promotion of a server may take effect, a commit that another
// server acknowledges is confirmed to its caller only once every candidate has it.
//
// A primary that control can't reach may acknowledge commits through a replica that restarts or
// joins at any time, and a requested promotion can't be withdrawn. Every answer to a caller passes
// through a pooler instance, so the instances keep the fence. Each has a commit lease, which ends
// `commit_lease` after its latest knowledge of the fences in force, and confirms no commit without
// it. A promotion is requested once every instance has applied the fence, or its lease has ended.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace primrosehead::pb {
class follow_reply;
class follow_request;
} // namespace primrosehead::pb

namespace primrosehead {

inline constexpr clock::duration commit_lease{1'500};

// Unique within a cell. Those of later control leaders, and later ones of a leader, are higher.
struct fence_id {
    std::uint64_t control_term = 0;
    std::uint64_t serial = 0;

    friend constexpr auto operator<=>(const fence_id&,
                                      const fence_id&) = default; // NOLINT(modernize-use-nullptr)
};

struct commit_fence {
    fence_id id;
    std::set<std::string, std::less<>> candidates; // whose promotion may take effect
};

using fence_map = std::map<std::string, commit_fence, std::less<>>; // by group

// A fence that an instance applies.
struct fence_report {
    fence_id id;
    log_position confirmed; // the newest position that it confirmed to callers
};

using fence_reports = std::map<std::string, fence_report, std::less<>>; // by group

void add_fences(const fence_map& fences, pb::follow_reply& reply);
[[nodiscard]] fence_map fences_of(const pb::follow_reply& reply);

void add_reports(const fence_reports& reports, pb::follow_request& request);
[[nodiscard]] fence_reports reports_of(const pb::follow_request& request);

} // namespace primrosehead
