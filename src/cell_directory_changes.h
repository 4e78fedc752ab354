// Records at which revision of a directory each server last changed, for deltas. Pure.
#pragma once

#include "primrosehead.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

class directory_changes {
  public:
    // Forgets all changes: deltas exist from `revision` on only.
    void reset(std::uint64_t revision);
    void record_change(std::string_view server, std::uint64_t revision);
    void record_removal(std::string_view server, std::uint64_t revision);

    // True if the changes since `revision` are known.
    [[nodiscard]] bool covers(std::uint64_t revision) const noexcept
    {
        return revision != 0 && revision >= oldest_revision_;
    }
    [[nodiscard]] bool has_changed(std::string_view server, std::uint64_t since) const;

    // Appends an announcement that is gone for each server removed since `revision`.
    void append_removed(std::uint64_t revision,
                        std::vector<pb::server_announcement>& announcements) const;

  private:
    std::map<std::string, std::uint64_t, std::less<>> changed_;
    std::map<std::string, std::uint64_t, std::less<>> removed_;
    std::uint64_t oldest_revision_ = 0;
};

} // namespace primrosehead::cell
