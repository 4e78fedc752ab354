#include "json_check.h"
#include "settings_check.h"
#include "settings_schema.h"

#include <primrosehead/config.h>
#include <primrosehead/settings.h>

#include <boost/json.hpp>

#include <string>

namespace primrosehead {

namespace json = boost::json;

namespace {

// A whole schema of its required keys and the properties of its parts.
std::string make_schema_text(std::string_view required, std::string_view instance_properties,
                             std::string_view program_properties)
{
    std::string text = R"({"type": "object", "description": "an object of settings",)";
    text += R"("additionalProperties": false, "required": )";
    text += required;
    text += R"(, "properties": {)";
    text += shared_properties_text;
    text += instance_properties;
    text += program_properties;
    text += "}}";
    return text;
}

const json_schema& entry_schema()
{
    static const json_schema compiled{
        make_schema_text(entry_required_text, instance_properties_text, entry_properties_text)};
    return compiled;
}

const json_schema& control_schema()
{
    static const json_schema compiled{
        make_schema_text(control_required_text, instance_properties_text, control_properties_text)};
    return compiled;
}

const json_schema& operator_schema()
{
    static const json_schema compiled{make_schema_text(operator_required_text, {}, {})};
    return compiled;
}

std::vector<control_address> read_control_addresses(const json::object& object)
{
    std::vector<control_address> control;
    for (const json::value& item : array_field(object, "control")) {
        control_address address;
        address.name = instance_name(text_field(item.as_object(), "name"));
        address.endpoint = text_field(item.as_object(), "endpoint");
        control.push_back(std::move(address));
    }
    return control;
}

std::optional<bus_key_settings> read_bus_key(const json::object& object)
{
    const json::value* found = object.if_contains("bus_key");
    if (found == nullptr) {
        return std::nullopt;
    }
    bus_key_settings key;
    read_field(found->as_object(), "public_key", key.public_key);
    read_field(found->as_object(), "secret_key", key.secret_key);
    return key;
}

std::optional<tls_settings> read_tls(const json::object& object)
{
    const json::value* found = object.if_contains("tls");
    if (found == nullptr) {
        return std::nullopt;
    }
    tls_settings tls;
    read_field(found->as_object(), "certificate_file", tls.certificate_file);
    read_field(found->as_object(), "key_file", tls.key_file);
    return tls;
}

log_settings read_log(const json::object& object)
{
    log_settings log;
    if (const json::value* found = object.if_contains("log")) {
        read_field(found->as_object(), "level", log.level);
        read_field(found->as_object(), "format", log.format);
        read_field(found->as_object(), "file", log.file);
    }
    return log;
}

// Fields that entry and control instances share.
template <class Settings>
void read_instance_settings(const json::object& object, Settings& settings)
{
    settings.cell = cell_name(text_field(object, "cell"));
    settings.instance = instance_name(text_field(object, "instance"));
    settings.failure_domain = failure_domain_name(text_field(object, "failure_domain"));
    read_field(object, "environment", settings.environment);
    read_field(object, "bus_endpoint", settings.bus_endpoint);
    settings.control = read_control_addresses(object);
    settings.bus_key = read_bus_key(object);
    settings.log = read_log(object);
}

entry_settings read_entry_settings(const json::object& object)
{
    entry_settings settings;
    read_instance_settings(object, settings);
    read_field(object, "listen", settings.listen);
    read_field(object, "announce_listen", settings.announce_listen);
    read_field(object, "session_secret", settings.session_secret);
    read_field(object, "threads", settings.threads);
    read_field(object, "max_connections", settings.max_connections);
    read_field(object, "header_timeout_ms", settings.header_timeout);
    read_field(object, "drain_timeout_ms", settings.drain_timeout);
    read_field(object, "decision_log", settings.decision_log);
    settings.tls = read_tls(object);
    return settings;
}

control_settings read_control_settings(const json::object& object)
{
    control_settings settings;
    read_instance_settings(object, settings);
    read_field(object, "data_folder", settings.data_folder);
    read_field(object, "heartbeat_ms", settings.heartbeat);
    read_field(object, "election_min_ms", settings.election_min);
    read_field(object, "election_max_ms", settings.election_max);
    read_field(object, "write_lease_ms", settings.write_lease);
    read_field(object, "grant_ms", settings.grant);
    read_field(object, "snapshot_after", settings.snapshot_after);
    return settings;
}

operator_settings read_operator_settings(const json::object& object)
{
    operator_settings settings;
    settings.cell = cell_name(text_field(object, "cell"));
    settings.control = read_control_addresses(object);
    settings.bus_key = read_bus_key(object);
    return settings;
}

status check_operator_settings(const operator_settings& settings)
{
    const status cell = check_name("$.cell", settings.cell.text());
    return ok(cell) ? check_control_addresses(settings.control) : cell;
}

// Checks `text` by schema, reads it and checks what it says.
template <class Settings>
result<Settings> parse_with(std::string_view text, const json_schema& schema,
                            Settings (*read)(const json::object&), status (*check)(const Settings&))
{
    if (text.size() > config::max_document_bytes) {
        return settings_error("$",
                              "at most " + std::to_string(config::max_document_bytes) + " bytes",
                              std::to_string(text.size()) + " bytes",
                              "Name a settings file; docs/CONFIG.md describes it.");
    }
    const result<json::value> document = schema.read(text);
    if (!ok(document)) {
        return failure(document);
    }
    Settings settings = read(value(document).as_object());
    const status consistent = check(settings);
    if (!ok(consistent)) {
        return failure(consistent);
    }
    return settings;
}

} // namespace

result<entry_settings> parse_entry_settings(std::string_view text)
{
    return parse_with<entry_settings>(text, entry_schema(), read_entry_settings,
                                      check_entry_settings);
}

result<control_settings> parse_control_settings(std::string_view text)
{
    return parse_with<control_settings>(text, control_schema(), read_control_settings,
                                        check_control_settings);
}

result<operator_settings> parse_operator_settings(std::string_view text)
{
    return parse_with<operator_settings>(text, operator_schema(), read_operator_settings,
                                         check_operator_settings);
}

} // namespace primrosehead
