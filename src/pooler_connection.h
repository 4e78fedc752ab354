// A pooled connection and the session state that its server keeps between operations.
#pragma once

#include "line_connection.h"
#include "pooler_warm_up.h"

#include <primrosehead/clock.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace primrosehead::pooler {

struct pooled_server;

// Session values that were set, by name.
using session_values = std::map<std::string, std::string, std::less<>>;

struct pooled_connection {
    std::unique_ptr<line_connection> link;
    std::shared_ptr<pooled_server> server;
    std::string organisation;
    session_values values;
    std::set<std::string, std::less<>> prepared; // names assigned by the pool
    clock::time_point last_used_at;
    bool holds_start = false; // a request to the cold server was granted with the connection
    warm_up_share share = warm_up_share::instance; // of the operation that holds the connection
};

} // namespace primrosehead::pooler
