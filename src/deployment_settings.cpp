#include "deployment_settings.h"

#include "json_check.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::string_view deployment_properties_text = R"(
  "cell": {"type": "string", "description": "a name of 1 to 64 characters"},
  "instance": {"type": "string", "minLength": 1, "description": "this instance's name"},
  "failure_domain": {"type": "string", "minLength": 1, "description": "this instance's failure domain"},
  "host": {"type": "string", "minLength": 1, "description": "this instance's IP address"},
  "bus_port": {"type": "integer", "minimum": 1, "maximum": 65535, "description": "a port"},
  "control": {"type": "array", "items": {"type": "string", "description": "IP:PORT"},
              "description": "addresses of cell instances"},
  "metrics_listen": {"type": "string", "description": "IP:PORT, or nothing"},
  "revocation_ms": {"type": "integer", "minimum": 1000, "description": "milliseconds, 1000 or more"},
  "limit_tolerance": {"type": "number", "minimum": 0, "description": "operations, 0 or more"},
  "grace_s": {"type": "number", "minimum": 1, "description": "seconds, 1 or more"},
  "regions": {"type": "object", "additionalProperties": {"type": "string"},
              "description": "the region of each failure domain"},
  "home_connections_per_instance": {"type": "number", "minimum": 0, "description": "connections, 0 or more"},
  "log": {"type": "object", "description": "level, format and file",
          "properties": {"level": {"type": "string", "description": "trace, debug, info, warn or error"},
                         "format": {"type": "string", "description": "text or json"},
                         "file": {"type": "string", "description": "a path, or nothing"}}}
)";

constexpr std::string_view pooler_properties_text = R"(,
  "listen": {"type": "string", "minLength": 1, "description": "IP:PORT for callers"},
  "readiness_listen": {"type": "string", "minLength": 1, "description": "IP:PORT for the load balancer's probe"},
  "max_connections": {"type": "integer", "minimum": 1, "description": "a count of 1 or more"},
  "leaving_ms": {"type": "integer", "minimum": 500, "description": "milliseconds, 500 or more"},
  "evacuation_ms": {"type": "integer", "minimum": 500, "description": "milliseconds, 500 or more"},
  "homes_per_server": {"type": "integer", "minimum": 1, "description": "a count of 1 or more"},
  "learned_concurrency": {"type": "boolean", "description": "true or false"}
)";

constexpr std::string_view cell_properties_text = R"(,
  "listen": {"type": "string", "minLength": 1, "description": "IP:PORT for servers and operators"},
  "data_folder": {"type": "string", "minLength": 1, "description": "a folder path"},
  "first_start": {"type": "boolean", "description": "true or false"},
  "platform": {"type": "string", "description": "IP:PORT, or nothing"},
  "announcement_interval_ms": {"type": "integer", "minimum": 100, "description": "milliseconds, 100 or more"},
  "leaving_ms": {"type": "integer", "minimum": 500, "description": "milliseconds, 500 or more"},
  "relays_from_instances": {"type": "integer", "minimum": 2, "description": "a count of 2 or more"}
)";

std::string make_schema_text(std::string_view program_properties, std::string_view required)
{
    return fmt::format(R"({{"type": "object", "description": "an object of settings",
        "additionalProperties": false, "required": {}, "properties": {{{}{}}}}})",
                       required, deployment_properties_text, program_properties);
}

void read_common_settings(const json::object& object, deployment_settings& settings)
{
    if (object.contains("cell")) {
        settings.cell = cell_name(text_field(object, "cell"));
    }
    read_field(object, "instance", settings.instance);
    settings.failure_domain = failure_domain_name(text_field(object, "failure_domain"));
    read_field(object, "host", settings.host);
    std::uint32_t port = 0;
    read_field(object, "bus_port", port);
    settings.bus_port = static_cast<std::uint16_t>(port);
    for (const json::value& address : array_field(object, "control")) {
        settings.control.emplace_back(std::string_view(address.as_string()));
    }
    read_field(object, "metrics_listen", settings.metrics_listen);
    read_field(object, "revocation_ms", settings.revocation);
    read_field(object, "limit_tolerance", settings.limit_tolerance);
    read_field(object, "home_connections_per_instance", settings.home_connections_per_instance);
    double grace_s = static_cast<double>(settings.grace.count()) / 1'000;
    read_field(object, "grace_s", grace_s);
    settings.grace = clock::duration(static_cast<std::int64_t>(grace_s * 1'000));
    if (const json::value* const regions = object.if_contains("regions")) {
        for (const json::key_value_pair& each : regions->as_object()) {
            settings.regions.emplace(each.key(), std::string_view(each.value().as_string()));
        }
    }
    if (const json::value* const log = object.if_contains("log")) {
        read_field(log->as_object(), "level", settings.log.level);
        read_field(log->as_object(), "format", settings.log.format);
        read_field(log->as_object(), "file", settings.log.file);
    }
}

} // namespace

result<pooler_settings> parse_pooler_settings(std::string_view text)
{
    static const json_schema schema(
        make_schema_text(pooler_properties_text,
                         R"(["instance", "failure_domain", "host", "bus_port", "control", "listen",
                         "readiness_listen"])"));
    const result<json::value> document = schema.read(text);
    if (!ok(document)) {
        return failure(document);
    }
    const json::object& object = value(document).as_object();
    pooler_settings settings;
    read_common_settings(object, settings);
    read_field(object, "listen", settings.listen);
    read_field(object, "readiness_listen", settings.readiness_listen);
    read_field(object, "max_connections", settings.max_connections);
    read_field(object, "leaving_ms", settings.leaving);
    read_field(object, "evacuation_ms", settings.evacuation);
    read_field(object, "homes_per_server", settings.homes_per_server);
    read_field(object, "learned_concurrency", settings.learns_concurrency);
    return settings;
}

result<cell_settings> parse_cell_settings(std::string_view text)
{
    static const json_schema schema(
        make_schema_text(cell_properties_text,
                         R"(["instance", "failure_domain", "host", "bus_port", "control", "listen",
                       "data_folder"])"));
    const result<json::value> document = schema.read(text);
    if (!ok(document)) {
        return failure(document);
    }
    const json::object& object = value(document).as_object();
    cell_settings settings;
    read_common_settings(object, settings);
    read_field(object, "listen", settings.listen);
    read_field(object, "data_folder", settings.data_folder);
    read_field(object, "first_start", settings.is_first_start);
    read_field(object, "platform", settings.platform);
    read_field(object, "announcement_interval_ms", settings.announcement_interval);
    read_field(object, "leaving_ms", settings.leaving);
    read_field(object, "relays_from_instances", settings.relays_from_instances);
    return settings;
}

std::string make_bus_endpoint(std::string_view host, std::uint16_t bus_port)
{
    return fmt::format("tcp://{}:{}", host, bus_port);
}

std::string_view host_of(std::string_view address) noexcept
{
    return address.substr(0, address.rfind(':'));
}

} // namespace primrosehead
