// The JSON schema of an environment document.
#pragma once

#include <string_view>

namespace primrosehead {

inline constexpr std::string_view environment_schema_text = R"json({
  "type": "object",
  "description": "an object with databases, routes and organisations",
  "required": ["databases", "routes", "organisations"],
  "additionalProperties": false,
  "properties": {
    "databases": {
      "type": "array",
      "description": "a list of databases",
      "items": {
        "type": "object",
        "description": "a database with its name",
        "required": ["name"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string", "description": "the database's name"},
          "durability": {"type": "string", "enum": ["replica", "primary"],
                         "description": "\"replica\" or \"primary\""}
        }
      }
    },
    "routes": {
      "type": "array",
      "description": "a list of routes",
      "items": {
        "type": "object",
        "description": "a route with its name, database and access",
        "required": ["name", "database", "access"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string", "description": "the route's name"},
          "database": {"type": "string", "description": "the name of one of $.databases"},
          "access": {"type": "string", "enum": ["read", "write"],
                     "description": "\"read\" or \"write\""},
          "open": {"type": "boolean", "description": "true or false"},
          "repeatable": {"type": "boolean", "description": "true or false"},
          "max_age_ms": {"type": "integer", "minimum": 0, "maximum": 86400000,
                         "description": "0 to 86400000 milliseconds"},
          "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 60000,
                         "description": "1 to 60000 milliseconds"},
          "organisations": {
            "type": "array",
            "description": "a list of names from $.organisations",
            "items": {"type": "string", "description": "the name of one of $.organisations"}
          }
        }
      }
    },
    "organisations": {
      "type": "array",
      "description": "a list of organisations",
      "items": {
        "type": "object",
        "description": "an organisation with its name, rate and burst",
        "required": ["name", "rate", "burst"],
        "additionalProperties": false,
        "properties": {
          "name": {"type": "string", "description": "the organisation's name"},
          "rate": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000000000,
                   "description": "requests per second, above 0 and at most 1000000000"},
          "burst": {"type": "number", "minimum": 1, "maximum": 1000000000,
                    "description": "requests at once, 1 to 1000000000"},
          "weight": {"type": "integer", "minimum": 1, "maximum": 1000,
                     "description": "an integer, 1 to 1000"}
        }
      }
    },
    "policies": {
      "type": "object",
      "description": "an object of policies",
      "additionalProperties": false,
      "properties": {
        "key_bound_ms": {"type": "integer", "minimum": 500, "maximum": 3600000,
                         "description": "500 to 3600000 milliseconds"},
        "limits": {"type": "string", "enum": ["leased", "static_split"],
                   "description": "\"leased\" or \"static_split\""},
        "floor_share": {"type": "number", "minimum": 0, "maximum": 1,
                        "description": "a share, 0 to 1"},
        "choice": {"type": "string", "enum": ["two_choices", "round_robin"],
                   "description": "\"two_choices\" or \"round_robin\""},
        "replica_reads": {"type": "boolean", "description": "true or false"},
        "retry_share": {"type": "number", "minimum": 0, "maximum": 1,
                        "description": "a share, 0 to 1"},
        "failure_after_ms": {"type": "integer", "minimum": 100, "maximum": 60000,
                             "description": "100 to 60000 milliseconds"}
      }
    }
  }
})json";

} // namespace primrosehead
