// Settings of the programs that serve a published document, pooler and cell instances
// (docs/CONFIG.md).
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// Settings common to both programs.
struct deployment_settings {
    cell_name cell{"main"};
    std::string instance;
    failure_domain_name failure_domain;
    std::string host;                  // IP address of this instance
    std::uint16_t bus_port = 0;        // bus port, the same on every instance
    std::vector<std::string> control;  // IP:PORT of the interface of one or more cell instances
    std::string metrics_listen;        // IP:PORT; empty: none
    clock::duration revocation{5'000}; // a withdrawn key is refused after this at the latest
    clock::duration grace{6'000};      // from the stop request until the process is killed
    double limit_tolerance = 0;        // operations of an organisation beyond its rate and burst
    std::map<std::string, std::string, std::less<>> regions; // by failure domain
    // A group has homes if its connection limit per server is below this many connections per live
    // instance; 0: never.
    double home_connections_per_instance = 0;
    log_settings log;
};

struct pooler_settings : deployment_settings {
    std::string listen;           // IP:PORT for callers
    std::string readiness_listen; // IP:PORT for the load balancer's readiness probe
    std::uint32_t max_connections = 4'000;
    clock::duration leaving{7'000};    // nothing new reaches a server that is leaving after this
    clock::duration evacuation{5'000}; // nothing reaches an evacuated domain after this
    std::uint32_t homes_per_server = 1;
    // Limits the statements at a server by the learned concurrency, without a home too.
    bool learns_concurrency = false;
};

struct cell_settings : deployment_settings {
    std::string listen; // IP:PORT for servers and operators
    std::string data_folder;
    bool is_first_start = false; // initial start of the whole system, with empty disks
    std::string platform;        // IP:PORT of the platform API; empty: none
    clock::duration announcement_interval{1'200};
    clock::duration leaving{7'000};           // servers announce this long before they deregister
    std::uint32_t relays_from_instances = 80; // pooler instances from which relays are used
};

[[nodiscard]] result<pooler_settings> parse_pooler_settings(std::string_view text);
[[nodiscard]] result<cell_settings> parse_cell_settings(std::string_view text);

// Returns the bus endpoint of the instance on `host`.
[[nodiscard]] std::string make_bus_endpoint(std::string_view host, std::uint16_t bus_port);

// "10.0.0.1" of "10.0.0.1:8462".
[[nodiscard]] std::string_view host_of(std::string_view address) noexcept;

} // namespace primrosehead
