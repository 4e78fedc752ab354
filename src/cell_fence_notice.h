// An unsolicited reply that announces fences to followers.
#pragma once

#include "primrosehead.pb.h"

#include <string>
#include <vector>

namespace primrosehead::cell {

struct fence_notice {
    std::vector<std::string> instances; // that it has to be sent to
    pb::follow_reply reply;
};

} // namespace primrosehead::cell
