// The backend servers as they announce themselves, at a control instance. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

struct directory_entry {
    pb::server_announcement announcement;
    clock::time_point announced_at;
};

class directory {
  public:
    // Takes in an announcement unless a newer one of the same server is known. True when it changed
    // what instances must know.
    bool apply(const pb::server_announcement& announcement, clock::time_point now);

    // Rises with every change that instances must know.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    // All servers with the present age of what they said.
    [[nodiscard]] std::vector<pb::server_announcement> servers(clock::time_point now) const;

    // The servers of a group that have not deregistered.
    [[nodiscard]] std::vector<const directory_entry*> group(std::string_view name) const;
    [[nodiscard]] const directory_entry* find(std::string_view server) const;

    // Drops servers that deregistered or fell silent long ago.
    void evict_stale(clock::time_point now);

  private:
    std::map<std::string, directory_entry, std::less<>> entries_;
    std::uint64_t revision_ = 0;
};

} // namespace primrosehead::cell
