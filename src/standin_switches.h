// What the control port sets: lag, freeze, slowness, cut links and the like.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <set>
#include <string>
#include <string_view>

namespace primrosehead::standin {

struct switches {
    clock::duration lag{0};
    clock::duration extra_service_time{0}; // added to each statement's service time
    bool frozen = false;                   // answers nothing, sends nothing, goes on where it was
    bool refuse_connections = false;
    bool leaving = false;
    bool crash = false; // the process ends at once
    std::set<std::string, std::less<>> cut;

    [[nodiscard]] bool is_cut(std::string_view peer) const { return cut.contains(peer); }
};

// Applies the JSON text of POST /control; members that are missing stay as they are.
[[nodiscard]] result<switches> apply_switches(const switches& before, std::string_view text);

} // namespace primrosehead::standin
