// The backend servers as the heartbeats of all entry instances report them: the newest report each.
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
    std::uint64_t revision = 0; // rises with every report taken in
    std::map<std::string, clock::time_point, std::less<>> reporters;
    std::uint64_t followed_term = 0; // it answered an order to follow this term's primary
    clock::time_point followed_at;
    clock::time_point follow_ordered_at;
};

class server_table {
  public:
    // Takes in a report; null when a newer one is known.
    const server_entry* record_report(const pb::server_report& report, std::string_view reporter,
                                      clock::time_point now);

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    // Reports after `revision`, with their present age, but for those that `instance` makes itself.
    [[nodiscard]] std::vector<pb::server_report>
    changed_since(std::uint64_t revision, std::string_view instance, clock::time_point now) const;

    // The servers of a database group.
    [[nodiscard]] std::vector<server_entry*> group(std::string_view database);

    [[nodiscard]] server_entry* find(std::string_view server);
    [[nodiscard]] const std::map<std::string, server_entry, std::less<>>& all() const noexcept;

    // Drops servers that nobody has reported for long.
    void remove_expired(clock::time_point now);

  private:
    std::map<std::string, server_entry, std::less<>> entries_;
    std::map<std::string, std::set<std::string>, std::less<>> groups_;
    std::uint64_t revision_ = 0;
};

} // namespace primrosehead::fleet
