#include "deployment_settings.h"

#include "json_check.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::string_view shared_text = R"(
  "cell": {"type": "string", "description": "a name of 1 to 64 characters"},
  "instance": {"type": "string", "minLength": 1, "description": "this instance's name"},
  "failure_domain": {"type": "string", "minLength": 1, "description": "this instance's failure domain"},
  "host": {"type": "string", "minLength": 1, "description": "this instance's IP address"},
  "bus_port": {"type": "integer", "minimum": 1, "maximum": 65535, "description": "a port"},
  "control": {"type": "array", "items": {"type": "string", "description": "IP:PORT"},
              "description": "addresses of cell instances"},
  "metrics_listen": {"type": "string", "description": "IP:PORT, or nothing"},
  "revocation_ms": {"type": "integer", "minimum": 1000, "description": "milliseconds, 1000 or more"},
  "grace_s": {"type": "number", "minimum": 1, "description": "seconds, 1 or more"},
  "log": {"type": "object", "description": "level, format and file",
          "properties": {"level": {"type": "string", "description": "trace, debug, info, warn or error"},
                         "format": {"type": "string", "description": "text or json"},
                         "file": {"type": "string", "description": "a path, or nothing"}}}
)";

constexpr std::string_view pooler_text = R"(,
  "listen": {"type": "string", "minLength": 1, "description": "IP:PORT for callers"},
  "readiness_listen": {"type": "string", "minLength": 1, "description": "IP:PORT for the balancer's probe"},
  "limit_tolerance": {"type": "number", "minimum": 0, "description": "operations, 0 or more"},
  "max_connections": {"type": "integer", "minimum": 1, "description": "a count of 1 or more"}
)";

constexpr std::string_view cell_text = R"(,
  "listen": {"type": "string", "minLength": 1, "description": "IP:PORT for servers and operators"},
  "data_folder": {"type": "string", "minLength": 1, "description": "a folder"},
  "first_start": {"type": "boolean", "description": "true or false"},
  "platform": {"type": "string", "description": "IP:PORT, or nothing"},
  "announcement_interval_ms": {"type": "integer", "minimum": 100, "description": "milliseconds, 100 or more"}
)";

std::string schema_of(std::string_view own, std::string_view required)
{
    return fmt::format(R"({{"type": "object", "description": "an object of settings",
        "additionalProperties": false, "required": {}, "properties": {{{}{}}}}})",
                       required, shared_text, own);
}

void read_shared(const json::object& from, deployment_settings& into)
{
    if (from.contains("cell")) {
        into.cell = cell_name(text_field(from, "cell"));
    }
    read_field(from, "instance", into.instance);
    into.failure_domain = failure_domain_name(text_field(from, "failure_domain"));
    read_field(from, "host", into.host);
    std::uint32_t port = 0;
    read_field(from, "bus_port", port);
    into.bus_port = static_cast<std::uint16_t>(port);
    for (const json::value& address : array_field(from, "control")) {
        into.control.emplace_back(std::string_view(address.as_string()));
    }
    read_field(from, "metrics_listen", into.metrics_listen);
    read_field(from, "revocation_ms", into.revocation);
    double grace_s = static_cast<double>(into.grace.count()) / 1'000;
    read_field(from, "grace_s", grace_s);
    into.grace = clock::duration(static_cast<std::int64_t>(grace_s * 1'000));
    if (const json::value* const log = from.if_contains("log")) {
        read_field(log->as_object(), "level", into.log.level);
        read_field(log->as_object(), "format", into.log.format);
        read_field(log->as_object(), "file", into.log.file);
    }
}

} // namespace

result<pooler_settings> parse_pooler_settings(std::string_view text)
{
    static const json_schema schema(schema_of(
        pooler_text, R"(["instance", "failure_domain", "host", "bus_port", "control", "listen",
                         "readiness_listen"])"));
    const result<json::value> read = schema.read(text);
    if (!ok(read)) {
        return failure(read);
    }
    const json::object& from = value(read).as_object();
    pooler_settings settings;
    read_shared(from, settings);
    read_field(from, "listen", settings.listen);
    read_field(from, "readiness_listen", settings.readiness_listen);
    read_field(from, "max_connections", settings.max_connections);
    read_field(from, "limit_tolerance", settings.limit_tolerance);
    return settings;
}

result<cell_settings> parse_cell_settings(std::string_view text)
{
    static const json_schema schema(schema_of(
        cell_text, R"(["instance", "failure_domain", "host", "bus_port", "control", "listen",
                       "data_folder"])"));
    const result<json::value> read = schema.read(text);
    if (!ok(read)) {
        return failure(read);
    }
    const json::object& from = value(read).as_object();
    cell_settings settings;
    read_shared(from, settings);
    read_field(from, "listen", settings.listen);
    read_field(from, "data_folder", settings.data_folder);
    read_field(from, "first_start", settings.is_first_start);
    read_field(from, "platform", settings.platform);
    read_field(from, "announcement_interval_ms", settings.announcement_interval);
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
