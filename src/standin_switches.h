// Faults and delays that the control port sets at run time.
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
    bool frozen = false;                   // sends and answers nothing until unfrozen, then resumes
    bool refuse_connections = false;
    bool leaving = false;
    bool crash = false;                     // the process exits immediately
    std::set<std::string, std::less<>> cut; // names of the cut links

    [[nodiscard]] bool is_cut(std::string_view peer) const { return cut.contains(peer); }
};

// Returns `before` with the changes of the JSON text of POST /control. Missing members keep their
// values, except `crash`, which defaults to false.
[[nodiscard]] result<switches> apply_switches(const switches& before, std::string_view text);

} // namespace primrosehead::standin
