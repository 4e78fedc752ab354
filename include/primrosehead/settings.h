// Settings of the processes. Each process reads one JSON file and validates it before it starts.
//
// docs/CONFIG.md describes the files.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

struct log_settings {
    std::string level = "info";  // trace, debug, info, warn, error
    std::string format = "text"; // text or json
    std::string file;            // empty: standard error
};

struct tls_settings {
    std::string certificate_file;
    std::string key_file;
};

// Encryption between the system's own processes (ZeroMQ CURVE). One key pair per fleet.
struct bus_key_settings {
    std::string public_key; // Z85
    std::string secret_key; // Z85
};

// Name and bus address of a control instance.
struct control_address {
    instance_name name;
    std::string endpoint; // tcp://IP:PORT
};

struct entry_settings {
    cell_name cell;
    instance_name instance;
    failure_domain_name failure_domain;
    std::string environment;
    std::string listen;          // IP:PORT for callers
    std::string announce_listen; // IP:PORT for backend servers' announcements
    std::string bus_endpoint;    // tcp://IP:PORT
    std::vector<control_address> control;
    std::string session_secret; // signs session tokens; the same on all entry instances of the cell
    std::uint32_t threads = 2;
    std::uint32_t max_connections = 10'000;
    clock::duration header_timeout{5'000}; // an incomplete request is dropped after this
    clock::duration drain_timeout{10'000};
    std::string decision_log; // JSON lines file for `explain`; empty: memory only
    std::optional<tls_settings> tls;
    std::optional<bus_key_settings> bus_key;
    log_settings log;
};

struct control_settings {
    cell_name cell;
    instance_name instance;
    failure_domain_name failure_domain;
    std::string environment;
    std::string bus_endpoint;
    std::string data_folder;
    std::vector<control_address>
        control; // initial members of a new cell, without one that joins later
    clock::duration heartbeat{50};
    clock::duration election_min{300};
    clock::duration election_max{600};
    clock::duration write_lease{500};
    clock::duration grant{1'000};
    std::uint32_t snapshot_after = 1'000; // log entries between snapshots
    std::optional<bus_key_settings> bus_key;
    log_settings log;
};

// Settings with which primrosectl reaches a cell's control instances.
struct operator_settings {
    cell_name cell;
    std::vector<control_address> control;
    std::optional<bus_key_settings> bus_key;
};

// Parse and validate the JSON text of a settings file. Errors are `error_kind::bad_settings`.
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text);
[[nodiscard]] result<control_settings> parse_control_settings(std::string_view text);
[[nodiscard]] result<operator_settings> parse_operator_settings(std::string_view text);

// Reads a file completely. Fails with `error_kind::bad_settings` if it is unreadable or too large.
[[nodiscard]] result<std::string> read_file(std::string_view path);

} // namespace primrosehead
