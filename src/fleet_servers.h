// The backend servers reported in the heartbeats of all entry instances, with the newest report of
// each.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::fleet {

struct server_entry {
    pb::server_report report;
    clock::time_point reported_at;
    std::uint64_t revision = 0; // increases with every accepted report
    std::map<std::string, clock::time_point, std::less<>> reporters;
    std::uint64_t followed_term = 0; // term of the last accepted order to follow
    clock::time_point followed_at;
    clock::time_point follow_ordered_at;
};

class server_table {
  public:
    // Records a report. Returns null if a report that is as new or newer is known.
    const server_entry* record_report(const pb::server_report& report, std::string_view reporter,
                                      clock::time_point now);

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    // Returns the reports after `revision`, with their current age, except those of servers that
    // `instance` reports itself.
    [[nodiscard]] std::vector<pb::server_report>
    changed_since(std::uint64_t revision, std::string_view instance, clock::time_point now) const;

    // The servers of a database group.
    [[nodiscard]] std::vector<server_entry*> group(std::string_view database);

    [[nodiscard]] server_entry* find(std::string_view server);
    [[nodiscard]] const std::map<std::string, server_entry, std::less<>>& all() const noexcept;

    // Removes servers without reports for the retention period.
    void remove_expired(clock::time_point now);

  private:
    std::map<std::string, server_entry, std::less<>> entries_;
    std::map<std::string, std::set<std::string>, std::less<>> groups_;
    std::uint64_t revision_ = 0;
};

} // namespace primrosehead::fleet
