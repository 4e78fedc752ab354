// Fragments of the JSON schemas of the processes' settings files.
#pragma once

#include <string_view>

namespace primrosehead {

// Properties common to all settings files.
inline constexpr std::string_view common_properties_text = R"json(
    "cell": {"type": "string", "description": "the cell's name"},
    "control": {
      "type": "array", "minItems": 1,
      "description": "a list of control instances, at least one",
      "items": {
        "type": "object",
        "description": "a control instance with its name and endpoint",
        "required": ["name", "endpoint"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string", "description": "the control instance's name"},
          "endpoint": {"type": "string", "description": "tcp://IP:PORT"}
        }
      }
    },
    "bus_key": {
      "type": "object",
      "description": "a key pair from primrosectl keygen",
      "required": ["public_key", "secret_key"],
      "additionalProperties": false,
      "properties": {
        "public_key": {"type": "string", "minLength": 40, "maxLength": 40,
                       "description": "40 characters of Z85"},
        "secret_key": {"type": "string", "minLength": 40, "maxLength": 40,
                       "description": "40 characters of Z85"}
      }
    })json";

// Additional properties of every instance's settings file.
inline constexpr std::string_view instance_properties_text = R"json(,
    "instance": {"type": "string", "description": "this instance's name"},
    "failure_domain": {"type": "string", "description": "this instance's failure domain"},
    "environment": {"type": "string", "description": "the name of an environment"},
    "bus_endpoint": {"type": "string", "description": "tcp://IP:PORT"},
    "log": {
      "type": "object",
      "description": "an object with level, format and file",
      "additionalProperties": false,
      "properties": {
        "level": {"type": "string", "enum": ["trace", "debug", "info", "warn", "error"],
                  "description": "\"trace\", \"debug\", \"info\", \"warn\" or \"error\""},
        "format": {"type": "string", "enum": ["text", "json"],
                   "description": "\"text\" or \"json\""},
        "file": {"type": "string", "description": "a file path, or \"\" for standard error"}
      }
    })json";

// Required keys and additional properties of an entry instance's file.
inline constexpr std::string_view entry_required_text =
    R"json(["cell", "instance", "failure_domain", "environment", "listen", "announce_listen",
            "bus_endpoint", "control", "session_secret"])json";
inline constexpr std::string_view entry_properties_text = R"json(,
    "listen": {"type": "string", "description": "IP:PORT"},
    "announce_listen": {"type": "string", "description": "IP:PORT"},
    "session_secret": {"type": "string", "minLength": 32, "maxLength": 256,
                       "description": "a secret of 32 to 256 characters"},
    "threads": {"type": "integer", "minimum": 1, "maximum": 256,
                "description": "1 to 256 threads"},
    "max_connections": {"type": "integer", "minimum": 1, "maximum": 1000000,
                        "description": "1 to 1000000 connections"},
    "header_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 600000,
                          "description": "10 to 600000 milliseconds"},
    "drain_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 3600000,
                         "description": "0 to 3600000 milliseconds"},
    "decision_log": {"type": "string", "description": "a file path"},
    "tls": {
      "type": "object",
      "description": "an object with certificate_file and key_file",
      "required": ["certificate_file", "key_file"],
      "additionalProperties": false,
      "properties": {
        "certificate_file": {"type": "string", "minLength": 1, "description": "a PEM file"},
        "key_file": {"type": "string", "minLength": 1, "description": "a PEM file"}
      }
    })json";

// Required keys and additional properties of a control instance's file.
inline constexpr std::string_view control_required_text =
    R"json(["cell", "instance", "failure_domain", "environment", "bus_endpoint", "data_folder",
            "control"])json";
inline constexpr std::string_view control_properties_text = R"json(,
    "data_folder": {"type": "string", "minLength": 1, "description": "a folder path"},
    "heartbeat_ms": {"type": "integer", "minimum": 5, "maximum": 60000,
                     "description": "5 to 60000 milliseconds"},
    "election_min_ms": {"type": "integer", "minimum": 20, "maximum": 120000,
                        "description": "20 to 120000 milliseconds"},
    "election_max_ms": {"type": "integer", "minimum": 20, "maximum": 240000,
                        "description": "20 to 240000 milliseconds"},
    "write_lease_ms": {"type": "integer", "minimum": 50, "maximum": 60000,
                       "description": "50 to 60000 milliseconds"},
    "grant_ms": {"type": "integer", "minimum": 50, "maximum": 60000,
                 "description": "50 to 60000 milliseconds"},
    "snapshot_after": {"type": "integer", "minimum": 1, "maximum": 1000000,
                       "description": "1 to 1000000 entries"})json";

// Required keys of primrosectl's settings file, which has the common properties only.
inline constexpr std::string_view operator_required_text = R"json(["cell", "control"])json";

} // namespace primrosehead
