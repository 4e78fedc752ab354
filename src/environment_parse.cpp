#include "environment_check.h"
#include "environment_schema.h"
#include "json_check.h"

#include <primrosehead/config.h>
#include <primrosehead/environment.h>

#include <boost/json.hpp>

#include <string>

namespace primrosehead {

namespace json = boost::json;

namespace {

const json_schema& schema()
{
    static const json_schema compiled{environment_schema_text};
    return compiled;
}

database_settings read_database(const json::object& object)
{
    database_settings database;
    database.name = database_name(text_field(object, "name"));
    if (text_field(object, "durability") == "primary") {
        database.durability = durability::primary;
    }
    return database;
}

route_settings read_route(const json::object& object)
{
    route_settings route;
    route.name = route_name(text_field(object, "name"));
    route.database = database_name(text_field(object, "database"));
    route.access = text_field(object, "access") == "write" ? access::write : access::read;
    read_field(object, "open", route.open);
    read_field(object, "repeatable", route.repeatable);
    read_field(object, "max_age_ms", route.max_age);
    read_field(object, "timeout_ms", route.timeout);
    for (const json::value& organisation : array_field(object, "organisations")) {
        route.organisations.emplace_back(std::string_view(organisation.as_string()));
    }
    return route;
}

organisation_settings read_organisation(const json::object& object)
{
    organisation_settings organisation;
    organisation.name = organisation_name(text_field(object, "name"));
    read_field(object, "rate", organisation.rate);
    read_field(object, "burst", organisation.burst);
    read_field(object, "weight", organisation.weight);
    return organisation;
}

policy_settings read_policies(const json::object& object)
{
    policy_settings policies;
    read_field(object, "key_bound_ms", policies.key_bound);
    read_field(object, "floor_share", policies.floor_share);
    read_field(object, "replica_reads", policies.replica_reads);
    read_field(object, "retry_share", policies.retry_share);
    read_field(object, "failure_after_ms", policies.failure_after);
    if (text_field(object, "limits") == "static_split") {
        policies.limits = limit_policy::static_split;
    }
    if (text_field(object, "choice") == "round_robin") {
        policies.choice = choice_policy::round_robin;
    }
    return policies;
}

environment read_environment(const json::object& object)
{
    environment parsed;
    for (const json::value& item : array_field(object, "databases")) {
        parsed.databases.push_back(read_database(item.as_object()));
    }
    for (const json::value& item : array_field(object, "routes")) {
        parsed.routes.push_back(read_route(item.as_object()));
    }
    for (const json::value& item : array_field(object, "organisations")) {
        parsed.organisations.push_back(read_organisation(item.as_object()));
    }
    if (const json::value* policies = object.if_contains("policies")) {
        parsed.policies = read_policies(policies->as_object());
    }
    return parsed;
}

} // namespace

result<environment> parse_environment(std::string_view document)
{
    if (document.size() > config::max_document_bytes) {
        return settings_error(
            "$", "at most " + std::to_string(config::max_document_bytes) + " bytes",
            std::to_string(document.size()) + " bytes", "Split the environment in two.");
    }
    const result<json::value> checked = schema().read(document);
    if (!ok(checked)) {
        return failure(checked);
    }
    environment parsed = read_environment(value(checked).as_object());
    const status consistent = check_environment(parsed);
    if (!ok(consistent)) {
        return failure(consistent);
    }
    return parsed;
}

} // namespace primrosehead
