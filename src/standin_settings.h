// Settings of the stand-in (docs/BACKEND.md).
#pragma once

#include "standin_database.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::standin {

// Another server of the group.
struct peer_settings {
    std::string server;
    std::string url;
};

struct server_settings {
    std::string server;
    std::string database;
    std::string failure_domain;
    std::string listen;         // IP:PORT
    std::string control_listen; // IP:PORT of the control port; empty: none
    std::vector<std::string> announce_urls;
    std::vector<peer_settings> group;
    std::uint32_t slots = 3;
    std::uint32_t connection_limit = 20;
    clock::duration accept_delay{10};
    clock::duration service_time{1};
    clock::duration lag{0};
    std::string data_folder; // empty: log and promised term are kept in memory only
    database_faults faults;  // for tests: disabled safety mechanisms
    log_settings log;
};

// Parses the JSON text of a settings file. The error names the JSON path and what was expected.
[[nodiscard]] result<server_settings> parse_server_settings(std::string_view text);

} // namespace primrosehead::standin
