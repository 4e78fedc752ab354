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
std::string schema_text(std::string_view required, std::string_view instance, std::string_view own)
{
    std::string text = R"({"type": "object", "description": "an object of settings",)";
    text += R"("additionalProperties": false, "required": )";
    text += required;
    text += R"(, "properties": {)";
    text += shared_properties_text;
    text += instance;
    text += own;
    text += "}}";
    return text;
}

const json_schema& entry_schema()
{
    static const json_schema compiled{
        schema_text(entry_required_text, instance_properties_text, entry_properties_text)};
    return compiled;
}

const json_schema& control_schema()
{
    static const json_schema compiled{
        schema_text(control_required_text, instance_properties_text, control_properties_text)};
    return compiled;
}

const json_schema& operator_schema()
{
    static const json_schema compiled{schema_text(operator_required_text, {}, {})};
    return compiled;
}

std::vector<control_address> read_control(const json::object& from)
{
    std::vector<control_address> control;
    for (const json::value& item : array_field(from, "control")) {
        control_address address;
        address.name = instance_name(text_field(item.as_object(), "name"));
        address.endpoint = text_field(item.as_object(), "endpoint");
        control.push_back(std::move(address));
    }
    return control;
}

std::optional<bus_key_settings> read_bus_key(const json::object& from)
{
    const json::value* found = from.if_contains("bus_key");
    if (found == nullptr) {
        return std::nullopt;
    }
    bus_key_settings key;
    read_field(found->as_object(), "public_key", key.public_key);
    read_field(found->as_object(), "secret_key", key.secret_key);
    return key;
}

std::optional<tls_settings> read_tls(const json::object& from)
{
    const json::value* found = from.if_contains("tls");
    if (found == nullptr) {
        return std::nullopt;
    }
    tls_settings tls;
    read_field(found->as_object(), "certificate_file", tls.certificate_file);
    read_field(found->as_object(), "key_file", tls.key_file);
    return tls;
}

log_settings read_log(const json::object& from)
{
    log_settings log;
    if (const json::value* found = from.if_contains("log")) {
        read_field(found->as_object(), "level", log.level);
        read_field(found->as_object(), "format", log.format);
        read_field(found->as_object(), "file", log.file);
    }
    return log;
}

// Fields that entry and control instances share.
template <class Settings>
void read_instance(const json::object& from, Settings& target)
{
    target.cell = cell_name(text_field(from, "cell"));
    target.instance = instance_name(text_field(from, "instance"));
    target.failure_domain = failure_domain_name(text_field(from, "failure_domain"));
    read_field(from, "environment", target.environment);
    read_field(from, "bus_endpoint", target.bus_endpoint);
    target.control = read_control(from);
    target.bus_key = read_bus_key(from);
    target.log = read_log(from);
}

entry_settings read_entry(const json::object& from)
{
    entry_settings made;
    read_instance(from, made);
    read_field(from, "listen", made.listen);
    read_field(from, "announce_listen", made.announce_listen);
    read_field(from, "session_secret", made.session_secret);
    read_field(from, "threads", made.threads);
    read_field(from, "max_connections", made.max_connections);
    read_field(from, "header_timeout_ms", made.header_timeout);
    read_field(from, "drain_timeout_ms", made.drain_timeout);
    read_field(from, "decision_log", made.decision_log);
    made.tls = read_tls(from);
    return made;
}

control_settings read_control_instance(const json::object& from)
{
    control_settings made;
    read_instance(from, made);
    read_field(from, "data_folder", made.data_folder);
    read_field(from, "heartbeat_ms", made.heartbeat);
    read_field(from, "election_min_ms", made.election_min);
    read_field(from, "election_max_ms", made.election_max);
    read_field(from, "write_lease_ms", made.write_lease);
    read_field(from, "grant_ms", made.grant);
    read_field(from, "snapshot_after", made.snapshot_after);
    return made;
}

operator_settings read_operator(const json::object& from)
{
    operator_settings made;
    made.cell = cell_name(text_field(from, "cell"));
    made.control = read_control(from);
    made.bus_key = read_bus_key(from);
    return made;
}

status check_operator_settings(const operator_settings& checked)
{
    const status cell = check_name("$.cell", checked.cell.text());
    return ok(cell) ? check_control_addresses(checked.control) : cell;
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
    Settings made = read(value(document).as_object());
    const status consistent = check(made);
    if (!ok(consistent)) {
        return failure(consistent);
    }
    return made;
}

} // namespace

result<entry_settings> parse_entry_settings(std::string_view text)
{
    return parse_with<entry_settings>(text, entry_schema(), read_entry, check_entry_settings);
}

result<control_settings> parse_control_settings(std::string_view text)
{
    return parse_with<control_settings>(text, control_schema(), read_control_instance,
                                        check_control_settings);
}

result<operator_settings> parse_operator_settings(std::string_view text)
{
    return parse_with<operator_settings>(text, operator_schema(), read_operator, check_operator_settings);
}

} // namespace primrosehead
